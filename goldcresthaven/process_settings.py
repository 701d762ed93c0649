"""Settings of one entry process: only what differs between VMs."""

from datetime import timedelta
import pathlib

import pydantic
import yaml

from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import presets

_ADDRESS = r'[0-9a-fA-F.:\[\]]+:\d{1,5}'


class ProcessSettings(presets.Model):
    """The settings file of a VM.

    Addresses are ``IP:port``; port 0 lets the operating system choose.
    ``stop_delay`` is the time that the load balancer needs to notice that
    the process is no longer ready.
    """

    vm: ids.VmId
    zone: ids.ZoneId
    listen: str = pydantic.Field(pattern=_ADDRESS)
    platform: str = pydantic.Field(pattern=_ADDRESS)
    stop_delay: presets.Duration = timedelta(seconds=5)


def read(path: pathlib.Path) -> ProcessSettings:
    """Read a settings file.

    Raises SettingsError when it cannot be read or is invalid.
    """
    try:
        raw = yaml.safe_load(path.read_text())
        return ProcessSettings.model_validate(raw)
    except (OSError, ValueError, yaml.YAMLError) as exc:
        raise errors.SettingsError(
            f'{path}: {exc}', remedy='correct the settings file'
        ) from exc
