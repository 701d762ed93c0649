"""The operator's HTTP endpoints of a process, without sockets.

The HTTP driver passes each call to ``OperatorApi.handle`` and sends the
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
        process,after,before,limit]
GET     /v1/config                           views.Configuration
POST    /v1/config/changes                   views.ChangeResult
POST    /v1/drain, /v1/undrain               views.ChangeResult
======  ===================================  ========================

A refused call is answered with views.Refusal.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from typing import Protocol
import urllib.parse

import pydantic

from goldcresthaven import config_changes
from goldcresthaven import config_log
from goldcresthaven import errors
from goldcresthaven import explain
from goldcresthaven import ids
from goldcresthaven import operator_views as views
from goldcresthaven import presets
from goldcresthaven import problems
from goldcresthaven import shards

CONTENT_TYPE = 'application/json'
MAX_BODY = 512 << 10

_MAX_QUERY_FIELDS = 16
_CHANGE_STATUS = {
    views.ChangeState.DRY_RUN: 200,
    views.ChangeState.ACCEPTED: 200,
    views.ChangeState.CONFLICT: 409,
    views.ChangeState.NOT_ACCEPTED: 503,
    views.ChangeState.STILL_UNKNOWN: 504,
}


class Process(Protocol):
    """What the entry process provides to its operator endpoints."""

    def local(self) -> views.Local:
        """Return the status that is known without asking peers."""

    def configuration(self) -> config_log.Entry | None:
        """Return the newest configuration entry that was applied."""

    def shard_map(self) -> shards.ShardMap: ...

    async def peers(self) -> Sequence[views.Peer]:
        """Ask the peers for their status, with a time limit."""

    async def find_request(
        self, request: ids.RequestId
    ) -> tuple[views.Request | None, tuple[ids.VmId, ...]]:
        """Return a recent request and the peers that did not respond."""

    async def timeline(self, query: views.TimelineQuery) -> views.Timeline:
        """Return matching events of all processes, merged and sorted."""

    async def submit(
        self, proposal: config_log.Proposal
    ) -> config_log.Outcome:
        """Store a proposal, see ``config_log.submit``, and apply it."""

    def new_txn(self) -> ids.TxnId: ...


class Verifier(Protocol):
    """Checks who sent a write."""

    def verify(
        self, *, method: str, target: str, body: bytes, authorization: str
    ) -> str:
        """Return the operator's name.

        ``target`` is the path with the query. Raises AuthError.
        """


class Signer(Protocol):
    """Proves who sends a write; the counterpart of ``Verifier``."""

    def sign(self, *, method: str, target: str, body: bytes) -> str:
        """Return the value of the Authorization header."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """An HTTP response; the body is JSON."""

    status: int
    body: bytes


class ChangeCall(presets.Model):
    """Body of a configuration change.

    ``expected`` is the version that the operator has seen, 0 when there
    is none; None takes the version that the process has applied.
    """

    change: dict[str, Any]
    expected: int | None = None
    dry_run: bool = False


class DrainCall(presets.Model):
    """Body of a drain or undrain."""

    upstream: ids.UpstreamId = pydantic.Field(min_length=1)
    expected: int | None = None
    dry_run: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _Call:
    query: Mapping[str, str]
    body: bytes
    author: str


Handler = Callable[[_Call], Awaitable[Response]]


class OperatorApi:
    """Answers the operator's calls to one process."""

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
            ('POST', '/v1/config/changes'): self._change,
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
        """Answer one call.

        ``query`` is the raw text after the question mark and
        ``authorization`` the value of that header, empty when absent.
        """
        try:
            handler = self._find(method, path)
            call = _Call(
                query=_parse_query(query),
                body=_bounded(body),
                author=self._author(method, path, query, body, authorization),
            )
            return await handler(call)
        except errors.Error as exc:
            return _refuse(_status_of(exc), exc)

    def _find(self, method: str, path: str) -> Handler:
        handler = self._handlers.get((method, path))
        if handler is not None:
            return handler
        known = [m for m, p in self._handlers if p == path]
        if known:
            raise errors.CallRefused(
                f'{method} is not allowed for {path}',
                remedy=f'use {problems.listed(known)}',
                status=405,
            )
        raise errors.CallRefused(
            f'there is no endpoint {path}',
            remedy='use a command line of the same release',
            status=404,
        )

    def _author(
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

    async def _health(self, call: _Call) -> Response:
        return _answer(views.Health())

    async def _ready(self, call: _Call) -> Response:
        readiness = self._process.local().readiness
        return _answer(readiness, status=200 if readiness.ready else 503)

    async def _status(self, call: _Call) -> Response:
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
        return _answer(status)

    async def _explain_key(self, call: _Call) -> Response:
        document = self._entry().document
        local = self._process.local()
        pool = explain.choose_pool(document, call.query.get('pool'))
        explanation = explain.explain_key(
            pool=pool,
            key=_required(call, 'key'),
            shard_map=self._process.shard_map(),
            upstreams=local.upstreams,
            claims=local.claims,
        )
        return _answer(explanation)

    async def _explain_request(self, call: _Call) -> Response:
        request_id = ids.RequestId(_required(call, 'request'))
        found, unreachable = await self._process.find_request(request_id)
        explanation = views.RequestExplanation(
            request=found,
            explanation=explain.explain_request(found),
            unreachable=unreachable,
        )
        return _answer(explanation, status=200 if found else 404)

    async def _timeline(self, call: _Call) -> Response:
        query = _validated(views.TimelineQuery, dict(call.query))
        return _answer(await self._process.timeline(query))

    async def _config(self, call: _Call) -> Response:
        entry = self._entry()
        view = views.Configuration(
            version=entry.version,
            txn=entry.txn,
            author=entry.author,
            change=config_changes.describe(entry.change),
            document=entry.document,
        )
        return _answer(view)

    async def _change(self, call: _Call) -> Response:
        body = _parse_body(ChangeCall, call.body)
        change = config_changes.decode(body.change)
        return await self._apply(call, change, body.expected, body.dry_run)

    async def _drain(self, call: _Call) -> Response:
        body = _parse_body(DrainCall, call.body)
        change = config_changes.Drain(upstream=body.upstream)
        return await self._apply(call, change, body.expected, body.dry_run)

    async def _undrain(self, call: _Call) -> Response:
        body = _parse_body(DrainCall, call.body)
        change = config_changes.Undrain(upstream=body.upstream)
        return await self._apply(call, change, body.expected, body.dry_run)

    async def _apply(
        self,
        call: _Call,
        change: config_changes.Change,
        expected: int | None,
        dry_run: bool,
    ) -> Response:
        current = self._process.configuration()
        result = _version_mismatch(current, expected)
        if result is None:
            proposal = config_log.propose(
                current,
                change,
                author=call.author,
                txn=self._process.new_txn(),
            )
            if dry_run:
                result = _dry_run(proposal)
            else:
                outcome = await self._process.submit(proposal)
                result = _result(proposal, outcome)
        return _answer(result, status=_CHANGE_STATUS[result.state])

    def _entry(self) -> config_log.Entry:
        entry = self._process.configuration()
        if entry is None:
            raise errors.CallRefused(
                'this process has no configuration',
                remedy='write one with `goldcresthaven init FILE`, or ask '
                'another process if one exists',
                status=503,
            )
        return entry


def _status_of(exc: errors.Error) -> int:
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


def _answer(view: object, *, status: int = 200) -> Response:
    return Response(status=status, body=views.encode(view))


def _refuse(status: int, exc: errors.Error) -> Response:
    refusal = views.Refusal(problem=exc.problem, remedy=exc.remedy)
    return _answer(refusal, status=status)


def _parse_query(query: str) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            query,
            strict_parsing=bool(query),
            max_num_fields=_MAX_QUERY_FIELDS,
            errors='strict',
        )
    except ValueError as exc:
        raise errors.CallRefused(
            f'the query is malformed: {exc}',
            remedy='write it as name=value pairs joined by &',
            status=400,
        ) from None
    if len(dict(pairs)) != len(pairs):
        raise errors.CallRefused(
            'a parameter of the query is repeated',
            remedy='give it once',
            status=400,
        )
    return dict(pairs)


def _bounded(body: bytes) -> bytes:
    if len(body) > MAX_BODY:
        raise errors.CallRefused(
            f'the body is longer than {MAX_BODY >> 10} KiB',
            remedy='split the change',
            status=400,
        )
    return body


def _required(call: _Call, name: str) -> str:
    value = call.query.get(name)
    if not value:
        raise errors.CallRefused(
            f'the parameter {name!r} is missing',
            remedy=f'add {name}=...',
            status=400,
        )
    return value


def _validated(kind: type[views.T], data: Any) -> views.T:
    try:
        return pydantic.TypeAdapter(kind).validate_python(data)
    except pydantic.ValidationError as exc:
        raise _malformed(exc) from None


def _parse_body(model: type[views.T], body: bytes) -> views.T:
    try:
        return pydantic.TypeAdapter(model).validate_json(body)
    except pydantic.ValidationError as exc:
        raise _malformed(exc) from None


def _malformed(exc: pydantic.ValidationError) -> errors.Error:
    first = problems.from_validation(exc)[0]
    return errors.CallRefused(
        f'{first.field}: {first.problem}', remedy=first.remedy, status=400
    )


def _version_mismatch(
    current: config_log.Entry | None, expected: int | None
) -> views.ChangeResult | None:
    """Return the result when the operator saw another version."""
    version = current.version if current is not None else 0
    if expected is None or expected == version:
        return None
    if current is not None and expected < version:
        return _conflict(current, config_log.Conflict(other=current).advice)
    return views.ChangeResult(
        state=views.ChangeState.NOT_ACCEPTED,
        version=None,
        detail=f'this process has applied version {version} and the command '
        f'was made for version {expected}',
        advice='wait a few seconds, or repeat the command at another process',
    )


def _conflict(other: config_log.Entry, advice: str) -> views.ChangeResult:
    return views.ChangeResult(
        state=views.ChangeState.CONFLICT,
        version=other.version,
        advice=advice,
        other_author=other.author,
        other_change=config_changes.describe(other.change),
    )


def _dry_run(proposal: config_log.Proposal) -> views.ChangeResult:
    return views.ChangeResult(
        state=views.ChangeState.DRY_RUN,
        version=proposal.entry.version,
        difference=proposal.difference,
        advice='repeat the command without --dry-run to store the change',
    )


def _result(
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
            return _conflict(outcome.other, outcome.advice)
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
