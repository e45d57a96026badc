"""Reads the settings file that the platform writes for a process, and opens the deployment.

Stateless. The names in the file belong to the platform. Faults are reported by these names, since
an operator sees the file and not the types of this package.
"""

import orjson

from ..outcomes import Fault, Invalid
from ..route_daemon import Deployment, RouteDaemonSettings, check_settings, register_deployment
from ._configuration import PlatformConfigurationSource
from ._control import PlatformTargetControl
from ._dialect import PlatformDialect
from ._store import PlatformStore
from ._targets import PlatformTargetSource

__all__ = ["open_platform", "read_boot_file"]

# Pause between reads of changes of the worker list until the daemon sets its own value.
INITIAL_BATCH_WINDOW_S = 0.1

# Bound on the use of revoked keys where the file does not request strict revocation: an hour, which
# no outage of the store during service reaches.
_FRESHNESS_WITHOUT_STRICT_REVOKE_S = 3600.0

MS_PER_S = 1000

# Part of the platform's rules that is in force where callers compete for too little capacity.
_PRESSURE_CONTRACT = "pressure"
_PRESSURE_SETTINGS = ("follows_site_plan", "shares_among_teams", "has_late_reserve")

# Time within which a change must be in force where the file has neither of its two bounds: the
# smallest known value of these bounds.
_DEFAULT_CHANGE_WITHIN_MS = 2000

# Processor share and speed where the file has none: then all boxes of a site count as equal.
_DEFAULT_PROCESSOR_SHARE_AND_SPEED = 1.0
BYTES_PER_MB = 1e6

# Dotted path of each setting in the file.
_SETTING_PATHS = {
    "name": "node-name",
    "hall": "zone",
    "halls": "zones",
    "listen": "listen.frontend",
    "ready_listen": "listen.ready",
    "metrics_listen": "listen.control",
    "peer_address": "internal-ports",
    "tunnel_address": "internal-ports",
    "store_address": "platform.address",
    "freshness_s": "bounds.revoke-ms",
    "stop_within_s": "bounds.grace-s",
    "retry_ratio": "bounds.retry-budget-ratio",
    "retry_slack": "bounds.retry-slack",
    "retry_window_s": "bounds.retry-window-s",
    "stall_s": "bounds.stall-ms",
    "load_window_s": "bounds.ceiling-window-s",
    "load_overshoot": "bounds.ceiling-overshoot",
    "memory_bytes": "limits.memory-mb",
    "is_first_start": "bootstrap",
    "change_within_s": "bounds.config-apply-ms",
    "evacuate_within_s": "bounds.evacuate-ms",
    "cold_overshoot": "bounds.cold-overshoot",
    "cold_slack": "bounds.cold-slack",
    "processor_share": "limits.cpu-share",
    "processor_speed": "limits.cores",
}


def read_boot_file(path: str) -> RouteDaemonSettings | Invalid:
    """Return the settings in a file, or its faults."""
    try:
        with open(path, "rb") as file:
            fields = orjson.loads(file.read())
    except OSError as error:
        return Invalid((Fault(path, f"cannot be read: {error.strerror}"),))
    except ValueError as error:
        return Invalid((Fault(path, f"is not JSON: {error}"),))
    if not isinstance(fields, dict):
        return Invalid((Fault(path, "is not a JSON object"),))
    return check_settings(_translate_settings(fields), _SETTING_PATHS)


def _translate_settings(fields: dict) -> dict:
    """Return the values of the file by ferrydock's names and in its units; None if missing.

    Values of the wrong type are left unchanged: `check_settings` reports them.
    """
    values = {name: _value_at(fields, dotted_path) for name, dotted_path in _SETTING_PATHS.items()}
    if isinstance(values["halls"], dict):
        values["halls"] = tuple(values["halls"])
    ports = values["peer_address"]
    if isinstance(ports, list) and ports:
        values["peer_address"] = f"{fields.get('ip')}:{ports[0]}"
    values["tunnel_address"] = _tunnel_address(fields.get("ip"), ports)
    if not _value_at(fields, "bounds.strict-revoke"):
        values["freshness_s"] = _FRESHNESS_WITHOUT_STRICT_REVOKE_S
    elif isinstance(values["freshness_s"], int | float):
        values["freshness_s"] /= MS_PER_S
    if values["is_first_start"] is None:
        values["is_first_start"] = False
    factors = (
        ("stall_s", 1 / MS_PER_S),
        ("evacuate_within_s", 1 / MS_PER_S),
        ("memory_bytes", BYTES_PER_MB),
    )
    for name, factor in factors:
        if isinstance(values[name], int | float):
            values[name] *= factor
    values["change_within_s"] = _change_within_s(fields)
    is_under_pressure = _PRESSURE_CONTRACT in (fields.get("contracts") or ())
    values |= dict.fromkeys(_PRESSURE_SETTINGS, is_under_pressure)
    for name in ("processor_share", "processor_speed"):
        if values[name] is None:
            values[name] = _DEFAULT_PROCESSOR_SHARE_AND_SPEED
    return values


def _tunnel_address(ip, ports) -> str | None:
    """Return the address of the last internal port; None if there is only one port, or none."""
    is_range = isinstance(ports, list) and len(ports) > 1 and ports[-1] != ports[0]
    return f"{ip}:{ports[-1]}" if is_range else None


def _change_within_s(fields: dict):
    """Return the smaller of the bounds on new configurations and on leaving workers, in seconds.

    A bound of the wrong type is returned unchanged: `check_settings` reports it.
    """
    bound_paths = ("bounds.config-apply-ms", "bounds.drain-ms")
    bounds_ms = [
        bound
        for bound in (_value_at(fields, dotted_path) for dotted_path in bound_paths)
        if bound is not None
    ]
    if not all(isinstance(bound, int | float) for bound in bounds_ms):
        return next(bound for bound in bounds_ms if not isinstance(bound, int | float))
    return min(bounds_ms, default=_DEFAULT_CHANGE_WITHIN_MS) / MS_PER_S


def _value_at(fields: dict, dotted_path: str):
    """Return the value at a dotted path in the file, or None."""
    value: object = fields
    for key in dotted_path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return value


@register_deployment("platform")
def open_platform(path: str) -> Deployment | Invalid:
    """Return the deployment that a settings file describes, or the faults of the file."""
    settings = read_boot_file(path)
    if isinstance(settings, Invalid):
        return settings
    store = PlatformStore(settings.store_address)
    return Deployment(
        settings=settings,
        reread=lambda: read_boot_file(path),
        store=store,
        store_calls=store.calls,
        call_counts=store.call_counts,
        configuration_source=PlatformConfigurationSource(
            store, settings.halls if settings.evacuate_within_s is not None else None
        ),
        target_source=PlatformTargetSource(store, INITIAL_BATCH_WINDOW_S),
        control=PlatformTargetControl(),
        dialect=PlatformDialect(),
    )
