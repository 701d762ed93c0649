"""The configuration log: one row of the table service for each version.

A change is a compare-and-set: the row of the next version is inserted
under the condition that it is absent. Of two operators at the same moment
one wins, and the other is shown what the first one did. The row records
the transaction that wrote it, which settles an insert whose response was
lost.
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
# The first attempt and one repetition of the same transaction.
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
    """Return the entry that a row's value or a peer's message holds.

    Raises ProtocolError when the value is not an entry.
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
        f'a configuration entry is unreadable: {detail}',
        remedy='check that all VMs run a release that knows its fields',
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class Proposal:
    """An entry that is not stored yet and the transaction to store it."""

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
        """What the proposal changes, as lines."""
        return config_changes.difference(self.before, self.entry.document)


def propose(
    current: Entry | None,
    change: config_changes.Change,
    *,
    author: str,
    txn: ids.TxnId,
) -> Proposal:
    """Return the proposal to apply a change to the newest entry.

    ``current`` is None when there is no configuration yet. Raises
    ChangeError when the change is refused.
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
    """The change is stored and survives every tolerated failure."""

    entry: Entry
    advice: str = 'nothing; `goldcresthaven status` shows who applied it'


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another change took the version; this one was not stored."""

    other: Entry
    advice: str = (
        'read the other change, run `goldcresthaven preset show`, and '
        'repeat the command if it is still wanted'
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class NotAccepted:
    """The change was not stored and cannot be stored later."""

    detail: str
    advice: str = 'correct the cause and repeat the command'


@dataclass(frozen=True, kw_only=True, slots=True)
class StillUnknown:
    """The change was sent and nothing shows whether it was stored.

    An absent row is no proof: a delayed write may still insert it.
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
    """The row of the version must be read to learn who wrote it."""

    table: str
    key: str
    detail: str


def interpret(
    proposal: Proposal, result: tables.Result
) -> Accepted | Conflict | ReadBack:
    """Return what the result of the proposal's transaction means.

    A conflict with the proposal's own row means that an earlier attempt
    was applied and its response was lost.
    """
    match result:
        case tables.Committed():
            return Accepted(entry=proposal.entry)
        case tables.Conflict():
            key = tables.log_key(proposal.entry.version)
            for row in result.rows:
                if row.key == key:
                    return _outcome_of_row(proposal, row)
            return _read_back(proposal, 'the store showed no other change')
        case tables.Ambiguous():
            return _read_back(proposal, result.detail)


def interpret_row(
    proposal: Proposal, row: tables.Row | None, *, detail: str
) -> Outcome:
    """Return what the row of the version means when it was read back.

    ``detail`` is why it had to be read.
    """
    if row is not None:
        return _outcome_of_row(proposal, row)
    return unknown(proposal, detail=detail)


def unknown(proposal: Proposal, *, detail: str) -> StillUnknown:
    """Return the outcome when the row could not be read back."""
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
    """The part of the table service that a change needs."""

    async def transact(self, tx: tables.Transaction) -> tables.Result:
        """Send a transaction.

        Raises ConnectionFailed when nothing was sent.
        """

    async def read(self, table: str, key: str) -> tables.Row | None:
        """Return a row, or None when it does not exist.

        Raises StoreUnavailable or ConnectionFailed.
        """


async def submit(proposal: Proposal, store: Store) -> Outcome:
    """Store a proposal and find out what became of it.

    An attempt without a response is repeated once with the same
    transaction; if that settles nothing, the row is read back.
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
