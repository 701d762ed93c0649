"""Formats views as text for the terminal."""

from goldcresthaven import operator_views as views
from goldcresthaven import outcomes
from goldcresthaven import presets
from goldcresthaven import timeline as timeline_module

_MIB = 1 << 20


def format_status(view: views.Status) -> str:
    local = view.local
    ready = 'ready' if local.readiness.ready else 'NOT READY'
    reason = f' ({local.readiness.reason})' if local.readiness.reason else ''
    lines = [
        f'{local.vm} in {local.zone}: {ready}{reason}',
        f'  preset {_or_none(local.preset)}, configuration version '
        f'{_or_none(local.config_version)}, map version {local.map_version}',
        f'  store {local.store}, memory {local.memory_bytes / _MIB:.0f} MiB',
    ]
    lines += [_format_claim(claim) for claim in local.claims]
    lines += [_format_upstream(upstream) for upstream in local.upstreams]
    lines += [_format_queue(queue) for queue in local.queues]
    lines += [
        _format_peer(peer, peer.vm in view.behind) for peer in view.peers
    ]
    if view.unreachable:
        lines.append('NO RESPONSE from ' + ', '.join(view.unreachable))
    return '\n'.join(lines)


def _or_none(value: object) -> str:
    return 'none' if value is None else str(value)


def _format_claim(claim: views.Claim) -> str:
    expiry = ''
    if claim.expires_in_ms is not None:
        expiry = f', {claim.expires_in_ms / 1000:.1f} s left'
    # The JSON has the state ``other``, which is unclear in text.
    state = 'held elsewhere' if claim.state == 'other' else claim.state
    holder = _or_none(claim.holder)
    return (
        f'  claim {claim.domain}: {state}, holder {holder}, '
        f'epoch {claim.epoch}{expiry}'
    )


def _format_upstream(upstream: views.Upstream) -> str:
    reason = f' ({upstream.reason})' if upstream.reason else ''
    return (
        f'  upstream {upstream.upstream} of {upstream.pool}: '
        f'{upstream.state}{reason}, slots {upstream.slots_in_use} of '
        f'{upstream.slots}, connections {upstream.connections}'
    )


def _format_queue(queue: views.Queue) -> str:
    return (
        f'  queue {queue.pool} {queue.rank}: {queue.length} waiting, '
        f'oldest {queue.oldest_ms} ms, refused {queue.refused}'
    )


def _format_peer(peer: views.Peer, config_behind: bool) -> str:
    if not peer.reachable:
        return f'  peer {peer.vm} in {peer.zone}: NO RESPONSE'
    ready = 'ready' if peer.ready else 'NOT READY'
    mark = ', BEHIND' if config_behind else ''
    return (
        f'  peer {peer.vm} in {peer.zone}: {ready}, configuration '
        f'{_or_none(peer.config_version)}, map '
        f'{_or_none(peer.map_version)}{mark}'
    )


def format_change(view: views.ChangeResult) -> str:
    version = f' as version {view.version}' if view.version else ''
    lines = list(view.difference)
    match view.state:
        case views.ChangeState.DRY_RUN:
            lines.append('dry run: nothing was stored')
        case views.ChangeState.ACCEPTED:
            lines.append(f'accepted{version}')
        case views.ChangeState.CONFLICT:
            lines.append(
                f'CONFLICT: nothing was stored; {view.other_author} made '
                f'version {view.version}: {view.other_change}'
            )
        case views.ChangeState.NOT_ACCEPTED:
            lines.append(f'NOT ACCEPTED: {view.detail}')
        case views.ChangeState.STILL_UNKNOWN:
            lines.append(
                f'STILL UNKNOWN whether it was stored{version}: {view.detail}'
            )
    if view.warning:
        lines.append(f'WARNING: {view.warning}')
    lines.append(f'what to do: {view.advice}')
    return '\n'.join(lines)


def format_preset_list(document: presets.Document) -> str:
    lines = []
    for preset in document.presets:
        mark = '*' if preset.name == document.in_force else ' '
        floors = ', '.join(
            f'{rank.value} {preset.rank(rank).floor:g}'
            for rank in outcomes.RANKS
        )
        lines.append(f'{mark} {preset.name}  floors: {floors}')
    return '\n'.join(lines)


def format_preset(preset: presets.Preset) -> str:
    lines: list[str] = [preset.name]
    for name, value in preset.model_dump(mode='json').items():
        if isinstance(value, dict):
            inner = ', '.join(f'{k} {v}' for k, v in value.items())
            lines.append(f'  {name}: {inner}')
        elif name != 'name':
            lines.append(f'  {name}: {_or_none(value)}')
    return '\n'.join(lines)


def format_key(view: views.KeyExplanation) -> str:
    verdict = 'served' if view.served else 'REFUSED as not run'
    return '\n'.join(
        (
            f'key {view.key} of {view.pool}: {verdict}',
            f'  {view.explanation}',
            f'  hash {view.key_hash}, shard {_or_none(view.shard)}, owner '
            f'{_or_none(view.owner)}',
            f'  domain {_or_none(view.domain)}, epoch {_or_none(view.epoch)},'
            f' claim holder {_or_none(view.holder)}',
            f'  map version {view.map_version}',
            f'what to do: {view.advice}',
        )
    )


def format_request(view: views.RequestExplanation) -> str:
    lines = [view.explanation]
    found = view.request
    if found is not None:
        lines.append(
            f'  {found.request} at {found.process}, received '
            f'{found.received.isoformat()}, {found.duration_ms:.1f} ms of '
            f'which {found.queued_ms:.1f} queued, status {found.status}'
        )
        lines.append(
            f'  rank {_or_none(found.rank)}, pool {_or_none(found.pool)}, '
            f'shard {_or_none(found.shard)}, epoch {_or_none(found.epoch)}, '
            f'configuration {_or_none(found.config_version)}, preset '
            f'{_or_none(found.preset)}'
        )
        if found.detail:
            lines.append(f'  {timeline_module.to_printable(found.detail)}')
        lines += [_format_attempt(attempt) for attempt in found.attempts]
    if view.unreachable:
        lines.append('NO RESPONSE from ' + ', '.join(view.unreachable))
    return '\n'.join(lines)


def _format_attempt(attempt: views.Attempt) -> str:
    return (
        f'  attempt at {attempt.upstream}: {attempt.result} '
        f'({attempt.reason}) after {attempt.duration_ms:.1f} ms'
    )


def format_timeline(view: views.Timeline) -> str:
    lines = []
    if view.truncated:
        where = ' by ' + ', '.join(view.incomplete) if view.incomplete else ''
        lines.append(f'(older events are left out{where}; narrow the filters)')
    for event in view.events:
        at = event.at.isoformat(timespec='milliseconds')
        context = f' request={event.request}' if event.request else ''
        context += f' key={event.key_hash}' if event.key_hash else ''
        text = (
            f'{at}+{event.counter} {event.process} {event.kind}{context} '
            f'{event.detail}'
        )
        lines.append(timeline_module.to_printable(text).rstrip())
    if view.unreachable:
        names = ', '.join(view.unreachable)
        lines.append(
            f'NO RESPONSE from {names}; only their milestones are shown'
        )
    return '\n'.join(lines) or 'no events'
