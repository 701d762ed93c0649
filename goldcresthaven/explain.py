"""Explains why a key is served or refused, from the state of one process."""

from collections.abc import Sequence

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import operator_views as views
from goldcresthaven import presets
from goldcresthaven import problems
from goldcresthaven import shards

_SERVING_STATES = frozenset({'up', 'slow-start'})


def choose_pool(document: presets.Document, name: str | None) -> ids.PoolName:
    """Return the keyed pool with this name; without a name, the only one.

    Raises ChangeError when no keyed pool has the name, or when the name is
    missing and there is not exactly one keyed pool.
    """
    keyed = [p.name for p in document.pools if p.keyed]
    if name is None and len(keyed) == 1:
        return keyed[0]
    for pool in keyed:
        if pool == name:
            return pool
    problem = f'{name!r} is not a keyed pool' if name else 'no pool is given'
    raise errors.ChangeError(
        problem, remedy=f'use {problems.format_choices(keyed)} as the pool'
    )


def explain_key(
    *,
    pool: ids.PoolName,
    key: str,
    shard_map: shards.ShardMap,
    upstreams: Sequence[views.Upstream],
    claims: Sequence[views.Claim],
) -> views.KeyExplanation:
    """Return the owner of a key, or the reason why requests are refused."""
    key_hash = shards.hash_key(key)
    shard = shard_map.lookup(pool, key_hash)
    owner_id = shard.owner if shard is not None else None
    owner = next((u for u in upstreams if u.upstream == owner_id), None)
    claim = _find_claim(owner, claims)
    served, explanation, advice = _explain_owner(shard, owner, claim)
    return views.KeyExplanation(
        pool=pool,
        key=key,
        key_hash=f'{key_hash:016x}',
        map_version=shard_map.version,
        served=served,
        explanation=explanation,
        advice=advice,
        shard=shard.shard_id if shard is not None else None,
        owner=owner_id,
        owner_state=owner.state if owner is not None else None,
        domain=owner.domain if owner is not None else None,
        epoch=claim.epoch if claim is not None else None,
        holder=claim.holder if claim is not None else None,
    )


def _find_claim(
    owner: views.Upstream | None, claims: Sequence[views.Claim]
) -> views.Claim | None:
    if owner is None or owner.domain is None:
        return None
    return next((c for c in claims if c.domain == owner.domain), None)


def _explain_owner(
    shard: shards.Shard | None,
    owner: views.Upstream | None,
    claim: views.Claim | None,
) -> tuple[bool, str, str]:
    if shard is None:
        return (
            False,
            'the map of this process has no shard for the key',
            'run `goldcresthaven status`; this process may lack map changes',
        )
    if shard.owner is None:
        return (
            False,
            f'the shard {shard.shard_id} has no owner yet',
            'run `goldcresthaven status` and look for the claims of the pool',
        )
    if owner is None:
        return (
            False,
            f'the owner {shard.owner} is not in the membership list',
            'wait for the shard to move; if it does not within a minute, '
            'look for the claim of its domain in `goldcresthaven status`',
        )
    if owner.state not in _SERVING_STATES:
        return (
            False,
            f'the owner {owner.upstream} is {owner.state}'
            + (f' ({owner.reason})' if owner.reason else ''),
            'wait for the shard to move; see handbook.md, a key is refused',
        )
    if claim is None or claim.holder is None:
        return (
            False,
            f'nobody is known to hold the claim on {owner.domain}',
            'see handbook.md, a claim does not renew',
        )
    return (
        True,
        f'{owner.upstream} owns the shard and is {owner.state}',
        'nothing',
    )


_OUTCOME_MEANINGS = {
    'done': 'the complete response was relayed',
    'not-run': 'the request was not executed and may be sent again',
    'unknown': 'the request was sent and may have been executed; check the '
    'upstream before it is sent again',
}


def explain_request(request: views.Request | None) -> str:
    """Return what the outcome of a request means for its caller."""
    if request is None:
        return (
            'no process that responded remembers the request; it is older '
            'than their records, or its process was replaced'
        )
    meaning = _OUTCOME_MEANINGS.get(
        request.outcome, 'the outcome is not known'
    )
    return f'{request.outcome} ({request.reason}): {meaning}'
