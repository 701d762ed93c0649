"""The configuration log: one row of the table service for each version.

A change is a compare-and-set: the row of the next version is inserted
under the condition that it does not exist. If two operators change the
configuration at the same time, one of them succeeds and the other gets a
conflict that shows the first change. The row contains the id of the
transaction that wrote it, which shows whether an insert without a response
was applied.
"""

from dataclasses import dataclass
from typing import Any
from typing import Protocol

import pydantic

from goldcresthaven import config_changes
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import presets
from goldcresthaven import problems
from goldcresthaven import tables

FIRST = ids.ConfigVersion(1)
# The first attempt and one retry of the same transaction.
_ATTEMPTS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One version of the configuration and the change that made it."""

    version: ids.ConfigVersion
    txn: ids.TxnId
    author: str
    change: config_changes.Change
    document: presets.Document


class _RowValue(presets.Model):
    version: int = pydantic.Field(ge=1)
    txn: str
    author: str
    change: dict[str, Any]
    document: presets.Document


def encode(entry: Entry) -> dict[str, Any]:
    """Return an entry as the value of its row."""
    return {
        'version': entry.version,
        'txn': entry.txn,
        'author': entry.author,
        'change': config_changes.encode(entry.change),
        'document': entry.document.model_dump(mode='json'),
    }


def decode(value: Any) -> Entry:
    """Return the entry in a row's value or in a peer's message.

    Raises ProtocolError when the value is not a valid entry.
    """
    try:
        row = _RowValue.model_validate(value)
        change = config_changes.decode(row.change)
    except pydantic.ValidationError as exc:
        problem_text = problems.as_text(problems.from_validation(exc))
        raise _decode_error(problem_text) from None
    except errors.ChangeError as exc:
        raise _decode_error(str(exc)) from None
    return Entry(
        version=ids.ConfigVersion(row.version),
        txn=ids.TxnId(row.txn),
        author=row.author,
        change=change,
        document=row.document,
    )


def _decode_error(detail: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        f'cannot decode a configuration entry: {detail}',
        remedy='check that all VMs run a release that knows its fields',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Proposal:
    """An entry that is not stored yet, with the transaction to store it."""

    before: presets.Document | None
    entry: Entry

    @property
    def transaction(self) -> tables.Transaction:
        key = tables.log_key(self.entry.version)
        absent = tables.VersionIs(
            table=tables.CONFIG_LOG, key=key, version=tables.ABSENT
        )
        write = tables.Write(
            table=tables.CONFIG_LOG, key=key, value=encode(self.entry)
        )
        return tables.Transaction(
            txn=self.entry.txn, conditions=(absent,), writes=(write,)
        )

    @property
    def difference(self) -> tuple[str, ...]:
        """The differences between the old and the proposed document."""
        return config_changes.difference(self.before, self.entry.document)


def propose(
    current: Entry | None,
    change: config_changes.Change,
    *,
    author: str,
    txn: ids.TxnId,
) -> Proposal:
    """Return a proposal that applies a change to the newest entry.

    ``current`` is None if there is no configuration yet. Raises ChangeError
    when the change is rejected.
    """
    before = current.document if current is not None else None
    version = FIRST if current is None else current.version + 1
    entry = Entry(
        version=ids.ConfigVersion(version),
        txn=txn,
        author=author,
        change=change,
        document=config_changes.apply(before, change),
    )
    return Proposal(before=before, entry=entry)


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The change is stored and survives all tolerated failures."""

    entry: Entry
    advice: str = 'nothing; `goldcresthaven status` shows who applied it'


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another change has this version; this one was not stored."""

    other: Entry
    advice: str = (
        'read the other change, run `goldcresthaven preset show`, and '
        'repeat the command if it is still wanted'
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class NotAccepted:
    """The change was not sent, so it is not and will not be stored."""

    detail: str
    advice: str = 'correct the cause and repeat the command'


@dataclass(frozen=True, kw_only=True, slots=True)
class StillUnknown:
    """The change was sent, but it is unknown whether it was stored.

    An absent row does not prove that it was not: a delayed write may still
    insert it.
    """

    version: ids.ConfigVersion
    txn: ids.TxnId
    detail: str
    advice: str = (
        'wait until the store responds, then run `goldcresthaven preset '
        'show`; repeating the command is safe, as only one of the two '
        'can be stored'
    )


Outcome = Accepted | Conflict | NotAccepted | StillUnknown


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadBack:
    """The row must be read to find out which transaction wrote it."""

    table: str
    key: str
    detail: str


def interpret(
    proposal: Proposal, result: tables.Result
) -> Accepted | Conflict | ReadBack:
    """Return the outcome for the result of the proposal's transaction.

    A conflict with the proposal's own row means that an earlier attempt
    was applied but its response was lost.
    """
    match result:
        case tables.Committed():
            return Accepted(entry=proposal.entry)
        case tables.Conflict():
            key = tables.log_key(proposal.entry.version)
            for row in result.rows:
                if row.key == key:
                    return _outcome_of_row(proposal, row)
            return _read_back(
                proposal, 'the conflict contains no row of this version'
            )
        case tables.Ambiguous():
            return _read_back(proposal, result.detail)


def interpret_row(
    proposal: Proposal, row: tables.Row | None, *, detail: str
) -> Outcome:
    """Return the outcome for the row of the version after reading it.

    ``detail`` is the reason why it had to be read.
    """
    if row is not None:
        return _outcome_of_row(proposal, row)
    return unknown(proposal, detail=detail)


def unknown(proposal: Proposal, *, detail: str) -> StillUnknown:
    """Return the outcome when the row is absent or could not be read."""
    return StillUnknown(
        version=proposal.entry.version,
        txn=proposal.entry.txn,
        detail=detail or 'the store did not respond',
    )


def _read_back(proposal: Proposal, detail: str) -> ReadBack:
    key = tables.log_key(proposal.entry.version)
    return ReadBack(table=tables.CONFIG_LOG, key=key, detail=detail)


def _outcome_of_row(
    proposal: Proposal, row: tables.Row
) -> Accepted | Conflict:
    if row.value.get('txn') == proposal.entry.txn:
        return Accepted(entry=proposal.entry)
    return Conflict(other=decode(row.value))


class Store(Protocol):
    """The operations of the table service that ``submit`` uses."""

    async def transact(self, tx: tables.Transaction) -> tables.Result:
        """Send a transaction.

        Raises ConnectionFailed when nothing was sent.
        """

    async def read(self, table: str, key: str) -> tables.Row | None:
        """Return a row, or None when it does not exist.

        Raises StoreUnavailable or ConnectionFailed.
        """


async def submit(proposal: Proposal, store: Store) -> Outcome:
    """Store a proposal and return its outcome.

    An attempt without a response is retried once with the same transaction.
    If the result is still unknown, the row is read.
    """
    sent = False
    detail = ''
    for _ in range(_ATTEMPTS):
        try:
            result = await store.transact(proposal.transaction)
        except errors.ConnectionFailed as exc:
            detail = str(exc)
            continue
        sent = True
        interpreted = interpret(proposal, result)
        if not isinstance(interpreted, ReadBack):
            return interpreted
        detail = interpreted.detail
    if not sent:
        return NotAccepted(detail=detail)
    try:
        key = tables.log_key(proposal.entry.version)
        row = await store.read(tables.CONFIG_LOG, key)
    except (errors.StoreUnavailable, errors.ConnectionFailed) as exc:
        return unknown(proposal, detail=f'{detail}; {exc}')
    return interpret_row(proposal, row, detail=detail)
