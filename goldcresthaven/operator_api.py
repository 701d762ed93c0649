"""The HTTP endpoints for the operator of an entry process, without sockets.

The HTTP server passes each call to ``OperatorApi.handle`` and sends the
response. Reads need no authentication; every write does.

======  ===================================  ========================
method  path                                 response
======  ===================================  ========================
GET     /health                              views.Health
GET     /ready                               views.Readiness, 200 or 503
GET     /v1/status                           views.Status
GET     /v1/explain/key?key=K[&pool=P]       views.KeyExplanation
GET     /v1/explain/request?request=R        views.RequestExplanation
GET     /v1/timeline?[key_hash,request,      views.Timeline
        process,after,before,milestones,
        limit]
GET     /v1/config                           views.Configuration
POST    /v1/config/changes                   views.ChangeResult
POST    /v1/drain, /v1/undrain               views.ChangeResult
======  ===================================  ========================

The response to a refused call is views.Refusal.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from dataclasses import dataclass
from typing import Protocol

from goldcresthaven import config_changes
from goldcresthaven import config_log
from goldcresthaven import errors
from goldcresthaven import explain
from goldcresthaven import ids
from goldcresthaven import operator_calls as calls
from goldcresthaven import operator_checks
from goldcresthaven import operator_views as views
from goldcresthaven import problems
from goldcresthaven import shards

CONTENT_TYPE = 'application/json'
MAX_BODY_BYTES = calls.MAX_BODY_BYTES

_HTTP_STATUS_OF_CHANGE = {
    views.ChangeState.DRY_RUN: 200,
    views.ChangeState.ACCEPTED: 200,
    views.ChangeState.CONFLICT: 409,
    views.ChangeState.NOT_ACCEPTED: 503,
    views.ChangeState.STILL_UNKNOWN: 504,
}


class Process(Protocol):
    """What the operator endpoints need from their entry process."""

    def local(self) -> views.Local:
        """Return the status that this process knows without its peers."""

    def configuration(self) -> config_log.Entry | None:
        """Return the newest configuration entry that is applied here."""

    def shard_map(self) -> shards.ShardMap: ...

    async def peers(self) -> Sequence[views.Peer]:
        """Query the peers for their status, with a timeout."""

    async def find_request(
        self, request: ids.RequestId
    ) -> tuple[views.Request | None, tuple[ids.VmId, ...]]:
        """Return a recent request and the peers that did not respond.

        The request is None when no process that responded has a record of
        it.
        """

    async def timeline(self, query: views.TimelineQuery) -> views.Timeline:
        """Return the matching events of all processes in causal order."""

    async def submit(
        self, proposal: config_log.Proposal
    ) -> config_log.Outcome:
        """Store a proposal as ``config_log.submit`` does, then apply it."""

    def new_txn(self) -> ids.TxnId: ...


class Verifier(Protocol):
    """Authenticates the sender of a write."""

    def verify(
        self, *, method: str, target: str, body: bytes, authorization: str
    ) -> str:
        """Return the name of the operator who signed the call.

        ``target`` is the path with the query. Raises AuthError.
        """


class Signer(Protocol):
    """Signs a write; the counterpart of ``Verifier``."""

    def sign(
        self, *, vm: ids.VmId, method: str, target: str, body: bytes
    ) -> str:
        """Return the value of the Authorization header.

        Only the process on ``vm`` accepts it.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """An HTTP response; the body is JSON."""

    status: int
    body: bytes


Handler = Callable[[calls.Call], Awaitable[Response]]


class OperatorApi:
    """Handles the operator's calls to one process."""

    def __init__(self, *, process: Process, verifier: Verifier) -> None:
        self._process = process
        self._verifier = verifier
        self._handlers: dict[tuple[str, str], Handler] = {
            ('GET', '/health'): self._health,
            ('GET', '/ready'): self._ready,
            ('GET', '/v1/status'): self._status,
            ('GET', '/v1/explain/key'): self._explain_key,
            ('GET', '/v1/explain/request'): self._explain_request,
            ('GET', '/v1/timeline'): self._timeline,
            ('GET', '/v1/config'): self._config,
            ('POST', '/v1/config/changes'): self._post_change,
            ('POST', '/v1/drain'): self._drain,
            ('POST', '/v1/undrain'): self._undrain,
        }

    async def handle(
        self,
        *,
        method: str,
        path: str,
        query: str,
        body: bytes,
        authorization: str = '',
    ) -> Response:
        """Handle one call and return its response.

        ``query`` is the raw query string without the question mark.
        ``authorization`` is the value of the Authorization header, empty
        when it is absent.
        """
        try:
            handler = self._find_handler(method, path)
            call = calls.Call(
                query=calls.parse_query(query),
                body=calls.check_body_size(body),
                author=self._verify_author(
                    method, path, query, body, authorization
                ),
            )
            return await handler(call)
        except errors.Error as exc:
            return _refusal_response(_http_status(exc), exc)

    def _find_handler(self, method: str, path: str) -> Handler:
        handler = self._handlers.get((method, path))
        if handler is not None:
            return handler
        allowed = [m for m, p in self._handlers if p == path]
        if allowed:
            raise errors.CallRefused(
                f'{method} is not allowed for {path}',
                remedy=f'use {problems.format_choices(allowed)}',
                status=405,
            )
        raise errors.CallRefused(
            f'there is no endpoint {path}',
            remedy='use a command line of the same release',
            status=404,
        )

    def _verify_author(
        self,
        method: str,
        path: str,
        query: str,
        body: bytes,
        authorization: str,
    ) -> str:
        if method == 'GET':
            return ''
        return self._verifier.verify(
            method=method,
            target=f'{path}?{query}' if query else path,
            body=body,
            authorization=authorization,
        )

    async def _health(self, call: calls.Call) -> Response:
        return _respond(views.Health(vm=self._process.local().vm))

    async def _ready(self, call: calls.Call) -> Response:
        readiness = self._process.local().readiness
        return _respond(readiness, status=200 if readiness.ready else 503)

    async def _status(self, call: calls.Call) -> Response:
        local = self._process.local()
        peers = tuple(await self._process.peers())
        newest = max(
            [local.config_version or 0]
            + [p.config_version or 0 for p in peers]
        )
        status = views.Status(
            local=local,
            peers=peers,
            behind=tuple(
                p.vm
                for p in peers
                if p.reachable and (p.config_version or 0) < newest
            ),
            unreachable=tuple(p.vm for p in peers if not p.reachable),
        )
        return _respond(status)

    async def _explain_key(self, call: calls.Call) -> Response:
        document = self._current_entry().document
        local = self._process.local()
        pool = explain.choose_pool(document, call.query.get('pool'))
        explanation = explain.explain_key(
            pool=pool,
            key=calls.require_parameter(call, 'key'),
            shard_map=self._process.shard_map(),
            upstreams=local.upstreams,
            claims=local.claims,
        )
        return _respond(explanation)

    async def _explain_request(self, call: calls.Call) -> Response:
        request_id = ids.RequestId(calls.require_parameter(call, 'request'))
        found, unreachable = await self._process.find_request(request_id)
        explanation = views.RequestExplanation(
            request=found,
            explanation=explain.explain_request(found),
            unreachable=unreachable,
        )
        return _respond(explanation, status=200 if found else 404)

    async def _timeline(self, call: calls.Call) -> Response:
        query = calls.validate(views.TimelineQuery, dict(call.query))
        return _respond(await self._process.timeline(query))

    async def _config(self, call: calls.Call) -> Response:
        entry = self._current_entry()
        view = views.Configuration(
            version=entry.version,
            txn=entry.txn,
            author=entry.author,
            change=config_changes.describe(entry.change),
            document=entry.document,
        )
        return _respond(view)

    async def _post_change(self, call: calls.Call) -> Response:
        body = calls.parse_body(calls.ChangeCall, call.body)
        change = config_changes.decode(body.change)
        return await self._submit_change(
            call, change, body.expected, body.dry_run
        )

    async def _drain(self, call: calls.Call) -> Response:
        body = calls.parse_body(calls.DrainCall, call.body)
        change = config_changes.Drain(upstream=body.upstream)
        return await self._submit_change(
            call, change, body.expected, body.dry_run
        )

    async def _undrain(self, call: calls.Call) -> Response:
        body = calls.parse_body(calls.DrainCall, call.body)
        change = config_changes.Undrain(upstream=body.upstream)
        return await self._submit_change(
            call, change, body.expected, body.dry_run
        )

    async def _submit_change(
        self,
        call: calls.Call,
        change: config_changes.Change,
        expected: int | None,
        dry_run: bool,
    ) -> Response:
        current = self._process.configuration()
        result = _version_mismatch(current, expected)
        if result is None:
            warning = await self._review_change(change)
            proposal = config_log.propose(
                current,
                change,
                author=call.author,
                txn=self._process.new_txn(),
            )
            if dry_run:
                result = _dry_run_result(proposal)
            else:
                outcome = await self._process.submit(proposal)
                result = _change_result(proposal, outcome)
            result = dataclasses.replace(result, warning=warning)
        return _respond(result, status=_HTTP_STATUS_OF_CHANGE[result.state])

    async def _review_change(self, change: config_changes.Change) -> str:
        """Return a warning, empty when there is none.

        Raises ChangeError when the change is dangerous.
        """
        local = self._process.local()
        match change:
            case config_changes.Drain():
                return operator_checks.review_drain(change.upstream, local)
            case config_changes.ConfirmLostZone():
                peers = await self._process.peers()
                return operator_checks.review_lost_zone(
                    change.zone, local, peers
                )
            case _:
                return ''

    def _current_entry(self) -> config_log.Entry:
        entry = self._process.configuration()
        if entry is None:
            raise errors.CallRefused(
                'this process has no configuration',
                remedy='write one with `goldcresthaven init FILE`, or ask '
                'another process if one exists',
                status=503,
            )
        return entry


def _http_status(exc: errors.Error) -> int:
    match exc:
        case errors.CallRefused():
            return exc.status
        case errors.AuthError():
            return 401
        case errors.ChangeError():
            return 422
        case errors.StoreUnavailable():
            return 503
        case _:
            return 500


def _respond(view: object, *, status: int = 200) -> Response:
    return Response(status=status, body=views.encode(view))


def _refusal_response(status: int, exc: errors.Error) -> Response:
    refusal = views.Refusal(problem=exc.problem, remedy=exc.remedy)
    return _respond(refusal, status=status)


def _version_mismatch(
    current: config_log.Entry | None, expected: int | None
) -> views.ChangeResult | None:
    """Return the result of a change made for another version, else None."""
    version = current.version if current is not None else 0
    if expected is None or expected == version:
        return None
    if current is not None and expected < version:
        return _conflict_result(
            current, config_log.Conflict(other=current).advice
        )
    return views.ChangeResult(
        state=views.ChangeState.NOT_ACCEPTED,
        version=None,
        detail=f'this process has applied version {version} and the command '
        f'was made for version {expected}',
        advice='wait a few seconds, or repeat the command at another process',
    )


def _conflict_result(
    other: config_log.Entry, advice: str
) -> views.ChangeResult:
    return views.ChangeResult(
        state=views.ChangeState.CONFLICT,
        version=other.version,
        advice=advice,
        other_author=other.author,
        other_change=config_changes.describe(other.change),
    )


def _dry_run_result(proposal: config_log.Proposal) -> views.ChangeResult:
    return views.ChangeResult(
        state=views.ChangeState.DRY_RUN,
        version=proposal.entry.version,
        difference=proposal.difference,
        advice='repeat the command without --dry-run to store the change',
    )


def _change_result(
    proposal: config_log.Proposal, outcome: config_log.Outcome
) -> views.ChangeResult:
    match outcome:
        case config_log.Accepted():
            return views.ChangeResult(
                state=views.ChangeState.ACCEPTED,
                version=outcome.entry.version,
                difference=proposal.difference,
                advice=outcome.advice,
            )
        case config_log.Conflict():
            return _conflict_result(outcome.other, outcome.advice)
        case config_log.NotAccepted():
            return views.ChangeResult(
                state=views.ChangeState.NOT_ACCEPTED,
                version=None,
                detail=outcome.detail,
                advice=outcome.advice,
            )
        case config_log.StillUnknown():
            return views.ChangeResult(
                state=views.ChangeState.STILL_UNKNOWN,
                version=outcome.version,
                difference=proposal.difference,
                detail=outcome.detail,
                advice=outcome.advice,
            )
