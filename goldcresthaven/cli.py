"""The command ``goldcresthaven``: runs a process and operates the fleet.

The operator's commands call one entry process over HTTP. docs/cli.md
describes them with examples.
"""

from datetime import datetime
from datetime import timezone
import importlib
import pathlib
from typing import Annotated
from typing import Any

import typer

from goldcresthaven import cli_preset
from goldcresthaven import cli_session as session
from goldcresthaven import cli_text
from goldcresthaven import clock
from goldcresthaven import config_changes
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import operator_views as views
from goldcresthaven import presets
from goldcresthaven import settings
from goldcresthaven import settings_files
from goldcresthaven import shards
from goldcresthaven import timeline_svg

app = typer.Typer(
    name='goldcresthaven',
    help='Router for upstreams that each own their keys exclusively.',
    epilog=session.EXIT_HELP,
    no_args_is_help=True,
    rich_markup_mode=None,
    # A traceback with local variables could reveal keys.
    pretty_exceptions_enable=False,
)
explain_app = typer.Typer(no_args_is_help=True, rich_markup_mode=None)
zone_app = typer.Typer(no_args_is_help=True, rich_markup_mode=None)
app.add_typer(
    cli_preset.app, name='preset', help='Show, make and switch presets.'
)
app.add_typer(explain_app, name='explain', help='Explain a key or a request.')
app.add_typer(zone_app, name='zone', help='Record lost zones.')

File = Annotated[pathlib.Path, typer.Argument(metavar='FILE')]
Upstream = Annotated[str, typer.Argument(help='Name of the upstream.')]
Zone = Annotated[str, typer.Argument(help='Availability zone.')]


def main() -> None:
    """Run the command line."""
    app(prog_name='goldcresthaven')


@app.command()
@session.reports_errors
def run(
    file: Annotated[
        pathlib.Path, typer.Argument(help='Process settings file.')
    ],
) -> None:
    """Run the entry process of this VM until SIGTERM."""
    # Imported here because no other command needs it.
    entry: Any = importlib.import_module('goldcresthaven.entry')
    entry.main(file)


@app.command()
@session.reports_errors
def check(
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(help='Deployment or process settings files.'),
    ],
    as_json: session.JsonOption = False,
) -> None:
    """Check settings files and report every problem.

    A file with pools or presets is a deployment file, any other a process
    settings file.
    """
    faults: list[errors.Fault] = []
    for file in files:
        faults += _check_file(file)
    lines = [str(fault) for fault in faults]
    lines.append(f'{len(files)} file(s), {len(faults)} problem(s)')
    session.print_view(tuple(faults), '\n'.join(lines), as_json=as_json)
    if faults:
        raise typer.Exit(session.Exit.REFUSED)


def _check_file(file: pathlib.Path) -> tuple[errors.Fault, ...]:
    text = settings_files.read_text(file)
    try:
        if settings.is_deployment(text):
            settings.parse_deployment(text, file=str(file))
        else:
            settings.parse_process(text, file=str(file))
    except errors.InvalidSettings as exc:
        return exc.faults
    return ()


@app.command()
@session.reports_errors
def init(
    file: File,
    entry: session.EntryOption,
    keys_file: session.KeysOption = None,
    author: session.AuthorOption = None,
    replace: Annotated[
        bool,
        typer.Option('--replace', help='Replace an existing configuration.'),
    ] = False,
    dry_run: session.DryRunOption = False,
    as_json: session.JsonOption = False,
) -> None:
    """Write the configuration from a deployment file.

    Without --replace this makes only the first version. Drained upstreams
    and lost zones stay so when a configuration is replaced.
    """
    document = settings_files.read_deployment(file)
    client = session.make_client(entry, keys_file, author)
    change = config_changes.ReplaceDocument(document=document)
    version = session.read_configuration(client).version if replace else 0
    session.submit_change(
        client, change, version, dry_run=dry_run, as_json=as_json
    )


@app.command()
@session.reports_errors
def status(
    entry: session.EntryOption, as_json: session.JsonOption = False
) -> None:
    """Show a process, the versions that all have applied, and who is lost."""
    view = session.make_client(entry).get(views.Status, '/v1/status')
    session.print_view(view, cli_text.format_status(view), as_json=as_json)


@explain_app.command('key')
@session.reports_errors
def explain_key(
    key: Annotated[str, typer.Argument(help='The key, as in the path.')],
    entry: session.EntryOption,
    pool: Annotated[
        str | None,
        typer.Option(help='Keyed pool; needed when there are several.'),
    ] = None,
    as_json: session.JsonOption = False,
) -> None:
    """Say which upstream owns a key and whether it is served."""
    view = session.make_client(entry).get(
        views.KeyExplanation, '/v1/explain/key', key=key, pool=pool
    )
    session.print_view(view, cli_text.format_key(view), as_json=as_json)


@explain_app.command('request')
@session.reports_errors
def explain_request(
    request: Annotated[
        str, typer.Argument(help='Value of the header X-Request-Id.')
    ],
    entry: session.EntryOption,
    as_json: session.JsonOption = False,
) -> None:
    """Say what became of a request."""
    view = session.make_client(entry).get(
        views.RequestExplanation, '/v1/explain/request', request=request
    )
    session.print_view(view, cli_text.format_request(view), as_json=as_json)
    if view.request is None:
        raise typer.Exit(session.Exit.NOT_FOUND)


@app.command()
@session.reports_errors
def drain(
    upstream: Upstream,
    entry: session.EntryOption,
    keys_file: session.KeysOption = None,
    author: session.AuthorOption = None,
    dry_run: session.DryRunOption = False,
    as_json: session.JsonOption = False,
) -> None:
    """Give an upstream no new work, within 3 s everywhere."""
    change = config_changes.Drain(upstream=ids.UpstreamId(upstream))
    client = session.make_client(entry, keys_file, author)
    session.submit_change_to_current(
        client, change, dry_run=dry_run, as_json=as_json
    )


@app.command()
@session.reports_errors
def undrain(
    upstream: Upstream,
    entry: session.EntryOption,
    keys_file: session.KeysOption = None,
    author: session.AuthorOption = None,
    dry_run: session.DryRunOption = False,
    as_json: session.JsonOption = False,
) -> None:
    """Let a drained upstream receive work again."""
    change = config_changes.Undrain(upstream=ids.UpstreamId(upstream))
    client = session.make_client(entry, keys_file, author)
    session.submit_change_to_current(
        client, change, dry_run=dry_run, as_json=as_json
    )


@zone_app.command('confirm-lost')
@session.reports_errors
def confirm_lost(
    zone: Zone,
    entry: session.EntryOption,
    keys_file: session.KeysOption = None,
    author: session.AuthorOption = None,
    yes: Annotated[
        bool,
        typer.Option('--yes', help='Every VM of the zone is switched off.'),
    ] = False,
    dry_run: session.DryRunOption = False,
    as_json: session.JsonOption = False,
) -> None:
    """Record that every VM of a zone is switched off.

    Its keys then move without waiting for claim_grace. If a VM of the zone
    still runs, a key can get two owners.
    """
    if not yes and not dry_run:
        typer.confirm(
            f'Is every VM of {zone} switched off, so that none can resume?',
            abort=True,
            err=True,
        )
    change = config_changes.ConfirmLostZone(zone=ids.ZoneId(zone))
    client = session.make_client(entry, keys_file, author)
    session.submit_change_to_current(
        client, change, dry_run=dry_run, as_json=as_json
    )


@zone_app.command('restore')
@session.reports_errors
def restore(
    zone: Zone,
    entry: session.EntryOption,
    keys_file: session.KeysOption = None,
    author: session.AuthorOption = None,
    dry_run: session.DryRunOption = False,
    as_json: session.JsonOption = False,
) -> None:
    """Take back that a zone is lost, before its VMs start again."""
    change = config_changes.RestoreZone(zone=ids.ZoneId(zone))
    client = session.make_client(entry, keys_file, author)
    session.submit_change_to_current(
        client, change, dry_run=dry_run, as_json=as_json
    )


@app.command()
@session.reports_errors
def timeline(
    entry: session.EntryOption,
    key: Annotated[
        str | None, typer.Option(help='Only events of this key.')
    ] = None,
    request: Annotated[
        str | None, typer.Option(help='Only events of this request.')
    ] = None,
    process: Annotated[
        str | None, typer.Option(help='Only events of this VM.')
    ] = None,
    after: Annotated[
        str | None,
        typer.Option(help='A UTC time, or how long ago, as in 5min.'),
    ] = None,
    before: Annotated[
        str | None,
        typer.Option(help='A UTC time, or how long ago, as in 1min.'),
    ] = None,
    milestones: Annotated[
        bool,
        typer.Option('--milestones', help='Only the events that matter most.'),
    ] = False,
    limit: Annotated[
        int, typer.Option(min=1, max=views.MAX_EVENTS, help='Newest events.')
    ] = 500,
    svg: Annotated[
        pathlib.Path | None,
        typer.Option(metavar='FILE', help='Draw a picture into FILE.'),
    ] = None,
    as_json: session.JsonOption = False,
) -> None:
    """Show the events of all processes, causes before effects."""
    view = session.make_client(entry).get(
        views.Timeline,
        '/v1/timeline',
        key_hash=f'{shards.hash_key(key):016x}' if key else None,
        request=request,
        process=process,
        after=_parse_time(after, '--after'),
        before=_parse_time(before, '--before'),
        milestones='true' if milestones else None,
        limit=str(limit),
    )
    if svg is not None:
        _write_file(svg, timeline_svg.render(view))
    session.print_view(view, cli_text.format_timeline(view), as_json=as_json)


def _parse_time(text: str | None, option: str) -> str | None:
    """Parse ``2026-01-31T10:00``, or ``5min`` ago, into an ISO time.

    A time without a time zone is in UTC.
    """
    if text is None:
        return None
    try:
        ago = presets.parse_duration(text)
        return (clock.SystemClock().now() - ago).isoformat()
    except ValueError:
        pass
    try:
        given = datetime.fromisoformat(text)
    except ValueError:
        raise typer.BadParameter(
            f'{text!r} is not a time; write 2026-01-31T10:00 or 5min',
            param_hint=option,
        ) from None
    if given.tzinfo is None:
        given = given.replace(tzinfo=timezone.utc)
    return given.isoformat()


def _write_file(path: pathlib.Path, text: str) -> None:
    try:
        path.write_text(text)
    except OSError as exc:
        raise errors.SettingsError(
            f'cannot write {path}: {exc.strerror}',
            remedy='choose a file in a directory that exists',
        ) from None
