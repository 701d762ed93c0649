"""The settings file that the platform writes for each process."""

from collections.abc import Mapping
from datetime import timedelta
import os
import pathlib
import tomllib
from typing import Any

from goldcresthaven import change_timing
from goldcresthaven import errors
from goldcresthaven import gateway_settings
from goldcresthaven import ids
from goldcresthaven import members
from goldcresthaven import retries
from goldcresthaven import upstream_notices
from goldcresthaven.platform import names

# Also set in deploy/system.toml; the platform assigns no port for metrics.
METRICS_PORT = 9464
_BYTES_PER_MEGABIT = 125_000
# Used where the deployment states no bound.
_TARGETS = change_timing.Targets()


def path() -> pathlib.Path:
    """Return the settings file's path; raises SettingsError."""
    value = os.environ.get(names.SETTINGS_VARIABLE)
    if not value:
        raise errors.SettingsError(
            f'{names.SETTINGS_VARIABLE} is not set',
            remedy='set it to the path of the settings file',
        )
    return pathlib.Path(value)


def load(text: str) -> gateway_settings.GatewaySettings:
    """Decode the settings.

    Raises SettingsError, which names the invalid field and a remedy.
    """
    try:
        fields = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise errors.SettingsError(
            f'the settings are not TOML: {exc}', remedy='correct the file'
        ) from exc
    bounds = _bounds(fields)
    return gateway_settings.GatewaySettings(
        vm=ids.VmId(_text(fields, 'node')),
        zone=ids.ZoneId(_text(fields, 'zone')),
        callers=_address(fields, 'listen', 'front'),
        readiness=_address(fields, 'listen', 'ready'),
        peers=_peer_address(fields),
        store=_address(fields, 'platform-api', 'addr'),
        grace=_bound(bounds, 'grace-s'),
        longest_hold=_bound(bounds, 'hold-max-s'),
        # Deployments without rules on these do not set them.
        drain=_bound(bounds, 'drain-s', upstream_notices.DEFAULT_DRAIN),
        change_targets=change_timing.Targets(
            applied_within=min(
                _bound(bounds, 'config-apply-s', _TARGETS.applied_within),
                # The registry shows which upstreams leave.
                _bound(bounds, 'drain-s', _TARGETS.applied_within),
            ),
            connected_after=_bound(
                bounds, 'stable-window-s', _TARGETS.connected_after
            ),
        ),
        # The VM has a share of one core, which is ``cores`` times as fast
        # as a standard core.
        cpu_cores=_limit(fields, 'cpu-share') * _limit(fields, 'cores'),
        link_bytes_per_s=_limit(fields, 'link-mbps') * _BYTES_PER_MEGABIT,
        retry_budget=retries.FleetBudget(
            ratio=_number(bounds, 'retry-budget-ratio'),
            slack=_number(bounds, 'budget-slack'),
        ),
    )


def _bounds(fields: Mapping[str, Any]) -> dict[str, str]:
    entries = fields.get('bounds')
    if not isinstance(entries, list):
        raise _problem('bounds', 'is not a list')
    pairs = (str(entry).partition('=') for entry in entries)
    return {name: value for name, _, value in pairs}


def _bound(
    bounds: Mapping[str, str], name: str, default: timedelta | None = None
) -> timedelta:
    if default is not None and name not in bounds:
        return default
    value = _number(bounds, name)
    if not 0 < value < 3600:
        raise _problem(f'bounds: {name}', 'is out of range')
    return timedelta(seconds=value)


def _number(bounds: Mapping[str, str], name: str) -> float:
    try:
        value = float(bounds[name])
    except (KeyError, ValueError) as exc:
        raise _problem(f'bounds: {name}', 'is not a number') from exc
    if not 0 <= value < 1e9:
        raise _problem(f'bounds: {name}', 'is out of range')
    return value


def _limit(fields: Mapping[str, Any], name: str) -> float:
    limits = fields.get('limits')
    value = limits.get(name) if isinstance(limits, dict) else None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _problem(f'limits.{name}', 'is not a number')
    if not 0 < value < 1e6:
        raise _problem(f'limits.{name}', 'is out of range')
    return float(value)


def _text(fields: Mapping[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise _problem(name, 'is not a non-empty string')
    return value


def _address(
    fields: Mapping[str, Any], section: str, name: str
) -> members.Address:
    table = fields.get(section)
    if not isinstance(table, dict):
        raise _problem(section, 'is not a table')
    try:
        return members.Address.parse(_text(table, name))
    except ValueError as exc:
        raise _problem(f'{section}.{name}', 'is not host:port') from exc


def _peer_address(fields: Mapping[str, Any]) -> members.Address:
    """Return the address with the first port for internal traffic."""
    ports = fields.get('internal-ports')
    if not isinstance(ports, list) or not ports:
        raise _problem('internal-ports', 'is not a list of ports')
    if type(ports[0]) is not int:
        raise _problem('internal-ports', 'does not start with a port number')
    return members.Address(host=_text(fields, 'ip'), port=ports[0])


def _problem(field: str, problem: str) -> errors.SettingsError:
    return errors.SettingsError(
        f'{field} {problem}', remedy='correct this field of the settings'
    )
