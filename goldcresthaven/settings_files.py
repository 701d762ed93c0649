"""Reads settings files; ``settings`` parses and validates them."""

import pathlib

from goldcresthaven import errors
from goldcresthaven import presets
from goldcresthaven import settings


def read_text(path: pathlib.Path) -> str:
    """Return the text of a file.

    Raises SettingsError when the file is unreadable, too long or not UTF-8.
    """
    try:
        with path.open('rb') as file:
            data = file.read(settings.MAX_BYTES + 1)
    except OSError as exc:
        raise errors.SettingsError(
            f'cannot read {path}: {exc.strerror}',
            remedy='check the path and its permissions',
        ) from None
    if len(data) > settings.MAX_BYTES:
        raise errors.SettingsError(
            f'{path} is longer than {settings.MAX_BYTES >> 10} KiB',
            remedy='check that it is a settings file',
        )
    try:
        return data.decode()
    except UnicodeDecodeError:
        raise errors.SettingsError(
            f'{path} is not UTF-8 text',
            remedy='save it as UTF-8',
        ) from None


def read_process(path: pathlib.Path) -> settings.ProcessSettings:
    """Return the settings of a process.

    Raises SettingsError, or its subclass InvalidSettings when the text is
    invalid.
    """
    return settings.parse_process(read_text(path), file=str(path))


def read_deployment(path: pathlib.Path) -> presets.Document:
    """Return the configuration document in a deployment file.

    Raises SettingsError, or its subclass InvalidSettings when the text is
    invalid.
    """
    return settings.parse_deployment(read_text(path), file=str(path))
