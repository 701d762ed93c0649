"""Exception classes of the package.

Each message states the problem and its remedy, because the operator may
see nothing else. Request results are not exceptions; see ``outcomes``.
"""

from dataclasses import dataclass


class Error(Exception):
    """Base of all errors; ``remedy`` tells the operator how to fix it."""

    def __init__(self, problem: str, *, remedy: str) -> None:
        super().__init__(f'{problem}; {remedy}')
        self.problem = problem
        self.remedy = remedy


class SettingsError(Error):
    """A settings file is unreadable or invalid."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """One problem in a settings file; ``line`` counts from 1."""

    file: str
    line: int
    field: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return (
            f'{self.file}:{self.line}: {self.field}: {self.problem}; '
            f'{self.remedy}'
        )


class InvalidSettings(SettingsError):
    """A settings file is invalid; ``faults`` lists all its problems."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__(
            f'the settings have {len(faults)} problem(s)',
            remedy='correct the file and run `goldcresthaven check` on it',
        )
        self.faults = faults

    def __str__(self) -> str:
        lines = [str(fault) for fault in self.faults]
        return '\n'.join([*lines, super().__str__()])


class ChangeError(Error):
    """A change cannot be applied to the configuration."""


class ProtocolError(Error):
    """A peer, caller or upstream sent data that violates its protocol."""


class RequestRejected(ProtocolError):
    """A caller's request is malformed; ``status`` is the HTTP status."""

    def __init__(self, problem: str, *, remedy: str, status: int) -> None:
        super().__init__(problem, remedy=remedy)
        self.status = status


class AuthError(Error):
    """A peer or operator failed authentication."""


class CallRefused(Error):
    """An operator's API call is rejected; ``status`` is the HTTP status."""

    def __init__(self, problem: str, *, remedy: str, status: int) -> None:
        super().__init__(problem, remedy=remedy)
        self.status = status


class StoreUnavailable(Error):
    """The table service gave no usable response.

    A write may nevertheless have been applied.
    """


class ConflictError(Error):
    """A transaction's condition failed because another write came first."""


class MapError(Error):
    """A map change cannot be applied to the current shard map."""


class ConnectionFailed(Error):
    """A connection could not be opened; nothing was sent on it."""


class ConnectionLost(Error):
    """A connection failed or was closed early, after bytes were sent."""


class DeadlineExceeded(Error):
    """An operation did not finish before its deadline."""
