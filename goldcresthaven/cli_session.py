"""Options, exit codes, error handling and client shared by the commands."""

from collections.abc import Callable
from enum import IntEnum
import functools
import getpass
import pathlib
from typing import Annotated
from typing import ParamSpec

import typer

from goldcresthaven import cli_text
from goldcresthaven import config_changes
from goldcresthaven import errors
from goldcresthaven import members
from goldcresthaven import operator_api
from goldcresthaven import operator_auth
from goldcresthaven import operator_client
from goldcresthaven import operator_views as views
from goldcresthaven import settings

P = ParamSpec('P')


class Exit(IntEnum):
    """Exit codes, the same for all commands."""

    DONE = 0
    ABORTED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    NOT_ACCEPTED = 5
    STILL_UNKNOWN = 6
    UNREACHABLE = 7
    NOT_AUTHENTICATED = 8
    NOT_FOUND = 9


EXIT_MEANINGS = {
    Exit.DONE: 'done',
    Exit.ABORTED: 'the operator declined, or an internal error',
    Exit.USAGE: 'the command line is wrong',
    Exit.REFUSED: 'a file, change or call is invalid; nothing was done',
    Exit.CONFLICT: 'another change was stored first; this one was not',
    Exit.NOT_ACCEPTED: 'the change was not stored and will not be',
    Exit.STILL_UNKNOWN: 'the change was sent; it may have been stored',
    Exit.UNREACHABLE: 'the entry process did not respond',
    Exit.NOT_AUTHENTICATED: 'the signature was refused',
    Exit.NOT_FOUND: 'nobody that responded remembers the request',
}
EXIT_HELP = 'Exit codes:\n\n\b\n' + '\n'.join(
    f'{code.value}  {meaning}' for code, meaning in EXIT_MEANINGS.items()
)

_EXIT_OF_CHANGE = {
    views.ChangeState.DRY_RUN: Exit.DONE,
    views.ChangeState.ACCEPTED: Exit.DONE,
    views.ChangeState.CONFLICT: Exit.CONFLICT,
    views.ChangeState.NOT_ACCEPTED: Exit.NOT_ACCEPTED,
    views.ChangeState.STILL_UNKNOWN: Exit.STILL_UNKNOWN,
}

EntryOption = Annotated[
    str,
    typer.Option(
        '--entry',
        envvar='GOLDCRESTHAVEN_ENTRY',
        metavar='HOST:PORT',
        help='Operator address of any entry process.',
    ),
]
KeysOption = Annotated[
    pathlib.Path | None,
    typer.Option(
        '--keys-file',
        envvar='GOLDCRESTHAVEN_KEYS_FILE',
        help='File with the shared keys that sign a change.',
    ),
]
AuthorOption = Annotated[
    str | None,
    typer.Option(
        '--author',
        envvar='GOLDCRESTHAVEN_AUTHOR',
        help='Name stored with a change; the login name by default.',
    ),
]
JsonOption = Annotated[
    bool, typer.Option('--json', help='Print JSON in place of text.')
]
DryRunOption = Annotated[
    bool,
    typer.Option('--dry-run', help='Print the difference, store nothing.'),
]


def load_signer(keys_file: pathlib.Path, author: str) -> operator_api.Signer:
    """Return a signer for the operator's calls; replaced in tests."""
    return operator_auth.load_signer(keys_file, author)


def make_client(
    entry: str,
    keys_file: pathlib.Path | None = None,
    author: str | None = None,
) -> operator_client.OperatorClient:
    """Return a client, which signs changes if there is a keys file."""
    signer = None
    if keys_file is not None:
        signer = load_signer(keys_file, author or getpass.getuser())
    return operator_client.OperatorClient(
        entry=parse_entry(entry), signer=signer
    )


def parse_entry(text: str) -> members.Address:
    """Parse the address given by --entry.

    Raises BadParameter, which typer reports as a usage error.
    """
    try:
        return settings.parse_address(text)
    except ValueError as exc:
        raise typer.BadParameter(str(exc), param_hint='--entry') from None


def reports_errors(command: Callable[P, None]) -> Callable[P, None]:
    """Wrap a command so that an errors.Error is printed without traceback.

    The command then exits with the code for that error.
    """

    @functools.wraps(command)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except errors.Error as exc:
            typer.echo(f'error: {exc}', err=True)
            raise typer.Exit(_exit_code(exc)) from None

    return wrapped


def _exit_code(exc: errors.Error) -> Exit:
    match exc:
        case errors.AuthError():
            return Exit.NOT_AUTHENTICATED
        case errors.ConnectionFailed() | errors.ConnectionLost():
            return Exit.UNREACHABLE
        case errors.ProtocolError():
            return Exit.UNREACHABLE
        case _:
            return Exit.REFUSED


def print_view(view: object, text: str, *, as_json: bool) -> None:
    """Print a view as text or as JSON."""
    typer.echo(views.encode(view).decode() if as_json else text)


def read_configuration(
    client: operator_client.OperatorClient,
) -> views.Configuration:
    return client.get(views.Configuration, '/v1/config')


def send_change(
    client: operator_client.OperatorClient,
    change: config_changes.Change,
    *,
    expected: int,
    dry_run: bool,
) -> views.ChangeResult:
    """Send a change that was made for the version ``expected``.

    When the response is lost, the state is STILL_UNKNOWN, because the
    process may have stored the change. A dry run raises ConnectionLost
    instead.
    """
    body = {
        'change': config_changes.encode(change),
        'expected': expected,
        'dry_run': dry_run,
    }
    try:
        return client.post(views.ChangeResult, '/v1/config/changes', body)
    except errors.ConnectionLost as exc:
        if dry_run:
            raise
        return views.ChangeResult(
            state=views.ChangeState.STILL_UNKNOWN,
            version=None,
            detail=exc.problem,
            advice='run `goldcresthaven preset show` at another process; '
            'repeating the command is safe, as only one of the two can be '
            'stored',
        )


def submit_change(
    client: operator_client.OperatorClient,
    change: config_changes.Change,
    version: int,
    *,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Send a change made for ``version`` and print the result.

    Exits with the code for the result unless the change succeeded.
    """
    result = send_change(client, change, expected=version, dry_run=dry_run)
    print_view(result, cli_text.format_change(result), as_json=as_json)
    code = _EXIT_OF_CHANGE[result.state]
    if code is not Exit.DONE:
        raise typer.Exit(code)


def submit_change_to_current(
    client: operator_client.OperatorClient,
    change: config_changes.Change,
    *,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Like ``submit_change``, for the version applied by the process."""
    version = read_configuration(client).version
    submit_change(client, change, version, dry_run=dry_run, as_json=as_json)
