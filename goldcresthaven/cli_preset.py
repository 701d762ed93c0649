"""The commands ``goldcresthaven preset``."""

from typing import Annotated

import typer

from goldcresthaven import cli_session as session
from goldcresthaven import cli_text
from goldcresthaven import config_changes
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import operator_views as views
from goldcresthaven import presets
from goldcresthaven import problems

app = typer.Typer(no_args_is_help=True, rich_markup_mode=None)

Name = Annotated[str, typer.Argument(metavar='PRESET')]


@app.command('list')
@session.reports_errors
def list_(
    entry: session.EntryOption, as_json: session.JsonOption = False
) -> None:
    """List the presets; a star marks the one in force."""
    view = session.read_configuration(session.make_client(entry))
    text = cli_text.format_preset_list(view.document)
    listing = views.PresetList(
        version=view.version,
        in_force=view.document.in_force,
        presets=view.document.presets,
    )
    session.print_view(listing, text, as_json=as_json)


@app.command()
@session.reports_errors
def show(
    entry: session.EntryOption,
    name: Annotated[str | None, typer.Argument(metavar='PRESET')] = None,
    as_json: session.JsonOption = False,
) -> None:
    """Show a preset, or the one in force, and who changed what last."""
    view = session.read_configuration(session.make_client(entry))
    preset = _find_preset(view, name or view.document.in_force)
    state = 'in force' if preset.name == view.document.in_force else ''
    text = '\n'.join(
        (
            cli_text.format_preset(preset),
            f'  {state or "not in force"}; configuration version '
            f'{view.version} by {view.author}: {view.change}',
        )
    )
    session.print_view(preset, text, as_json=as_json)


@app.command()
@session.reports_errors
def create(
    name: Name,
    entry: session.EntryOption,
    base: Annotated[
        str | None,
        typer.Option('--from', help='Preset to copy; the one in force.'),
    ] = None,
    fields: Annotated[
        list[str] | None,
        typer.Option(
            '--set', metavar='FIELD=VALUE', help='Field of the new preset.'
        ),
    ] = None,
    keys_file: session.KeysOption = None,
    author: session.AuthorOption = None,
    dry_run: session.DryRunOption = False,
    as_json: session.JsonOption = False,
) -> None:
    """Make a preset from another one; it is not put in force."""
    client = session.make_client(entry, keys_file, author)
    view = session.read_configuration(client)
    preset = _find_preset(view, base or view.document.in_force)
    for assignment in fields or []:
        field, separator, value = assignment.partition('=')
        if not separator:
            raise typer.BadParameter(
                f'{assignment!r} has no =; write urgent.target=400ms',
                param_hint='--set',
            )
        preset = config_changes.set_preset_field(preset, field, value)
    preset = preset.model_copy(update={'name': ids.PresetName(name)})
    change = config_changes.CreatePreset(preset=preset)
    session.submit_change(
        client, change, view.version, dry_run=dry_run, as_json=as_json
    )


@app.command('set')
@session.reports_errors
def set_(
    name: Name,
    field: Annotated[str, typer.Argument(help='As in urgent.target.')],
    value: Annotated[str, typer.Argument(help='As in a settings file.')],
    entry: session.EntryOption,
    keys_file: session.KeysOption = None,
    author: session.AuthorOption = None,
    dry_run: session.DryRunOption = False,
    as_json: session.JsonOption = False,
) -> None:
    """Set one field of a preset; none clears a field."""
    change = config_changes.SetField(
        preset=ids.PresetName(name), field=field, value=value
    )
    client = session.make_client(entry, keys_file, author)
    session.submit_change_to_current(
        client, change, dry_run=dry_run, as_json=as_json
    )


@app.command()
@session.reports_errors
def switch(
    name: Name,
    entry: session.EntryOption,
    keys_file: session.KeysOption = None,
    author: session.AuthorOption = None,
    dry_run: session.DryRunOption = False,
    as_json: session.JsonOption = False,
) -> None:
    """Put a preset in force everywhere."""
    change = config_changes.SwitchPreset(preset=ids.PresetName(name))
    client = session.make_client(entry, keys_file, author)
    session.submit_change_to_current(
        client, change, dry_run=dry_run, as_json=as_json
    )


def _find_preset(view: views.Configuration, name: str) -> presets.Preset:
    for preset in view.document.presets:
        if preset.name == name:
            return preset
    names = [p.name for p in view.document.presets]
    raise errors.ChangeError(
        f'the preset {name!r} does not exist',
        remedy=f'use {problems.format_choices(names)}',
    )
