"""The settings file that the platform writes for a process, and opening the deployment it names.

Stateless. The names of the file belong to the platform; faults are reported by them, since an
operator sees the file and not the types here.
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

# How long changes of the worker list are gathered until the daemon sets its own times. Chosen, not
# measured.
FIRST_GATHER_S = 0.1

# Bound on revoked keys where the file does not ask for strict revoking: an hour, which no outage in
# service reaches. Chosen, not measured.
_WITHOUT_STRICT_REVOKING_S = 3600.0

# Units of the file.
MS_PER_S = 1000

# Bounds on how soon a change must be in force where the file names neither: the smallest known.
_UNTOLD_CHANGE_MS = 2000

# What stands for a share or speed of the processor that the file does not tell: then all machines
# of a site count as equal.
_UNTOLD_PROCESSOR = 1.0
BYTES_PER_MB = 1e6

# Where each setting stands in the file.
_FIELDS = {
    "name": "node-name",
    "hall": "zone",
    "halls": "zones",
    "listen": "listen.frontend",
    "ready_listen": "listen.ready",
    "metrics_listen": "listen.control",
    "peer_address": "internal-ports",
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
    "processor_share": "limits.cpu-share",
    "processor_speed": "limits.cores",
}


def read_boot_file(path: str) -> RouteDaemonSettings | Invalid:
    """Return the settings in a file, or what is wrong with it."""
    try:
        with open(path, "rb") as file:
            fields = orjson.loads(file.read())
    except OSError as error:
        return Invalid((Fault(path, f"cannot be read: {error.strerror}"),))
    except ValueError as error:
        return Invalid((Fault(path, f"is not JSON: {error}"),))
    if not isinstance(fields, dict):
        return Invalid((Fault(path, "is not a JSON object"),))
    return check_settings(_translate(fields), _FIELDS)


def _translate(fields: dict) -> dict:
    """Return the values of the file by the product's names and in its units; None if missing.

    Values of the wrong type are left as they are: `check_settings` names them.
    """
    found = {name: _at(fields, place) for name, place in _FIELDS.items()}
    if isinstance(found["halls"], dict):
        found["halls"] = tuple(found["halls"])
    ports = found["peer_address"]
    if isinstance(ports, list) and ports:
        found["peer_address"] = f"{fields.get('ip')}:{ports[0]}"
    if not _at(fields, "bounds.strict-revoke"):
        found["freshness_s"] = _WITHOUT_STRICT_REVOKING_S
    elif isinstance(found["freshness_s"], int | float):
        found["freshness_s"] /= MS_PER_S
    if found["is_first_start"] is None:
        found["is_first_start"] = False
    for name, factor in (("stall_s", 1 / MS_PER_S), ("memory_bytes", BYTES_PER_MB)):
        if isinstance(found[name], int | float):
            found[name] *= factor
    found["change_within_s"] = _change_within_s(fields)
    for name in ("processor_share", "processor_speed"):
        if found[name] is None:
            found[name] = _UNTOLD_PROCESSOR
    return found


def _change_within_s(fields: dict):
    """Return the smaller of the bounds on configurations and on leaving workers, in seconds."""
    places = ("bounds.config-apply-ms", "bounds.drain-ms")
    bounds_ms = [bound for bound in (_at(fields, place) for place in places) if bound is not None]
    if not all(isinstance(bound, int | float) for bound in bounds_ms):
        return next(bound for bound in bounds_ms if not isinstance(bound, int | float))
    return min(bounds_ms, default=_UNTOLD_CHANGE_MS) / MS_PER_S


def _at(fields: dict, place: str):
    """Return the value at a dotted place, or None."""
    value: object = fields
    for part in place.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


@register_deployment("platform")
def open_platform(path: str) -> Deployment | Invalid:
    """Open the deployment that a settings file describes."""
    settings = read_boot_file(path)
    if isinstance(settings, Invalid):
        return settings
    store = PlatformStore(settings.store_address)
    return Deployment(
        settings=settings,
        reread=lambda: read_boot_file(path),
        store=store,
        store_calls=store.calls,
        configuration_source=PlatformConfigurationSource(store),
        target_source=PlatformTargetSource(store, FIRST_GATHER_S),
        control=PlatformTargetControl(),
        dialect=PlatformDialect(),
    )
