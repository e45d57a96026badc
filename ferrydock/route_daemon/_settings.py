"""Settings of the route daemon: their typed form, their validation, and the ones in force.

Owns the settings in force; they are read again once a second and on SIGHUP. The deployment's
adapter defines the names that operators see.
"""

import ipaddress
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields
from typing import Any

from ..logs import log_event
from ..outcomes import Fault, Invalid

__all__ = ["LiveSettings", "RouteDaemonSettings", "check_settings"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Bounds of settings: the range of ports, a name that fits a log line, and a day as the longest
# plausible time.
MAX_PORT = 65535
MAX_NAME_LENGTH = 200
DAY_S = 86400


@dataclass(frozen=True, slots=True)
class RouteDaemonSettings:
    """The settings of one daemon.

    Attributes
    ----------
    name : str
        Name of this daemon's machine.
    hall, halls : str, tuple of str
        The daemon's hall, and all halls of the site.
    listen, ready_listen, metrics_listen : str
        ``IP:PORT`` for callers, for the balancer's readiness checks and for metrics.
    peer_address : str
        ``IP:PORT`` for other daemons.
    store_address : str
        ``IP:PORT`` of the platform's store.
    tunnel_address : str or None
        ``IP:PORT`` for connections of other daemons to targets, which this daemon forwards; None if
        the deployment has no port for them.
    freshness_s : float
        Longest time for which a revoked key may still be accepted: no request with a key is served
        by a configuration that was confirmed longer ago (`configuration.max_keyed_age_s`).
    stop_within_s : float
        Time from the signal to stop until the process is killed.
    retry_ratio, retry_slack : float
        Retries that all daemons together may send to a service within each window that the
        platform counts: the ratio times its requests, plus the slack.
    load_window_s, load_overshoot : float
        Window in which the platform counts the loads of model weights that begin, and the factor by
        which they may exceed the configured rate within one window.
    is_first_start : bool
        Whether the whole site starts for the first time, all daemons at once.
    change_within_s : float
        How soon each daemon must act on a new configuration and on a target that is being removed.
    processor_share, processor_speed : float
        Share of a core that the machine has, and the speed of that core relative to a reference
        core.
    evacuate_within_s : float or None
        How soon the targets of a hall must get no more requests after operators have evacuated it;
        None if the deployment has no evacuations.
    follows_site_plan : bool
        Whether replicas follow one plan of the site while a model is short of slots: spares serve,
        and weights load while targets serve (`replicas.SitePlanner`).
    shares_among_teams : bool
        Whether teams share slots that are short (`teams.TeamShares`); otherwise requests of one
        rank are served by time alone.
    has_late_reserve : bool
        Whether late requests leave some slots free for requests that can still be in time
        (`scheduling.HallScheduler`).
    cold_overshoot, cold_slack : float or None
        Requests that a cold target may get within one second: the overshoot times its rate
        (`configuration.ColdSpec`), plus the slack; None if the deployment sets no such bound.
    memory_bytes : float or None
        Memory limit of the daemon's process, which bounds what it holds for callers that read
        slowly (`forwarding.RouteGateway`); read at the start only. None for no bound.
    """

    name: str
    hall: str
    halls: tuple[str, ...]
    listen: str
    ready_listen: str
    metrics_listen: str
    peer_address: str
    store_address: str
    freshness_s: float
    stop_within_s: float
    retry_ratio: float
    retry_slack: float
    load_window_s: float
    load_overshoot: float
    is_first_start: bool
    change_within_s: float
    processor_share: float
    processor_speed: float
    tunnel_address: str | None = None
    evacuate_within_s: float | None = None
    cold_overshoot: float | None = None
    cold_slack: float | None = None
    follows_site_plan: bool = False
    memory_bytes: float | None = None
    shares_among_teams: bool = False
    has_late_reserve: bool = False

    @property
    def processor_cores(self) -> float:
        """Processor capacity of the machine, in reference cores."""
        return self.processor_share * self.processor_speed


def _is_name(value) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH


def _is_address(value) -> bool:
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= MAX_PORT


def _is_within(low: float, high: float) -> Callable[[object], bool]:
    def check(value) -> bool:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return is_number and low <= value <= high

    return check


def _is_absent_or(check: Callable[[object], bool]) -> Callable[[object], bool]:
    return lambda value: value is None or check(value)


def _is_names(value) -> bool:
    return isinstance(value, tuple) and bool(value) and all(_is_name(name) for name in value)


# The check of each setting, and the description of allowed values that an operator sees.
_ADDRESS = (_is_address, "IP:PORT with a port of 1 to 65535")
# `retry_window_s` and `stall_s` are checked so that a bad value is reported at the start, but the
# daemon does not use them.
_CONSTRAINTS: Mapping[str, tuple[Callable, str]] = {
    "tunnel_address": (_is_absent_or(_is_address), "IP:PORT with a port of 1 to 65535, or none"),
    "name": (_is_name, "a text of 1 to 200 signs"),
    "hall": (_is_name, "a text of 1 to 200 signs"),
    "halls": (_is_names, "one name or more"),
    "listen": _ADDRESS,
    "ready_listen": _ADDRESS,
    "metrics_listen": _ADDRESS,
    "peer_address": _ADDRESS,
    "store_address": _ADDRESS,
    "freshness_s": (_is_within(0, DAY_S), "0 to 86400 seconds"),
    "stop_within_s": (_is_within(0, DAY_S), "0 to 86400 seconds"),
    "retry_ratio": (_is_within(0, 1000), "0 to 1000"),
    "retry_slack": (_is_within(0, 1e9), "0 and more"),
    "retry_window_s": (_is_within(0.001, DAY_S), "above 0, to 86400 seconds"),
    "stall_s": (_is_within(0, DAY_S), "0 to 86400 seconds"),
    "load_window_s": (_is_within(0.001, DAY_S), "above 0, to 86400 seconds"),
    "load_overshoot": (_is_within(0, 1000), "0 to 1000"),
    "memory_bytes": (_is_within(1, 1 << 50), "1 and more"),
    "change_within_s": (_is_within(0, DAY_S), "0 to 86400 seconds"),
    "processor_share": (_is_within(0.001, 10000), "0.001 to 10000"),
    "processor_speed": (_is_within(0.001, 10000), "0.001 to 10000"),
    "is_first_start": (lambda value: isinstance(value, bool), "true or false"),
    "follows_site_plan": (lambda value: isinstance(value, bool), "true or false"),
    "shares_among_teams": (lambda value: isinstance(value, bool), "true or false"),
    "has_late_reserve": (lambda value: isinstance(value, bool), "true or false"),
    "evacuate_within_s": (_is_absent_or(_is_within(0, DAY_S)), "0 to 86400 seconds, or none"),
    "cold_overshoot": (_is_absent_or(_is_within(0, 1000)), "0 to 1000, or none"),
    "cold_slack": (_is_absent_or(_is_within(0, 1e9)), "0 and more, or none"),
}


def check_settings(
    given: Mapping[str, Any], shown: Mapping[str, str]
) -> RouteDaemonSettings | Invalid:
    """Return checked settings, or every fault with the setting's name, value and allowed values.

    Parameters
    ----------
    given : mapping
        Values by the field names of `RouteDaemonSettings`; a missing one is a fault.
    shown : mapping
        Names of the settings that operators see, by field name.
    """
    faults = []
    for name, (check, allowed) in _CONSTRAINTS.items():
        value = given.get(name)
        if not check(value):
            setting_name = shown.get(name, name)
            faults.append(Fault(setting_name, f"{value!r} is not allowed; allowed: {allowed}"))
    if faults:
        return Invalid(tuple(faults))
    if given["hall"] not in given["halls"]:
        setting_name = shown.get("hall", "hall")
        return Invalid((Fault(setting_name, f"{given['hall']!r} is none of the site's halls"),))
    names = [field.name for field in fields(RouteDaemonSettings) if field.name in given]
    return RouteDaemonSettings(**{name: given[name] for name in names})


class LiveSettings:
    """The settings in force, which may change while the daemon runs.

    Parameters
    ----------
    settings : RouteDaemonSettings
        As read when the process starts.
    read : callable
        Reads the settings again.
    """

    __slots__ = ("current", "read")

    def __init__(
        self,
        settings: RouteDaemonSettings,
        read: Callable[[], RouteDaemonSettings | Invalid],
    ):
        self.current = settings
        self.read = read

    def reread(self) -> None:
        """Read the settings again and apply them; invalid settings change nothing."""
        updated = self.read()
        if isinstance(updated, Invalid):
            log_event(_LOG, logging.ERROR, "settings_unreadable", why=updated.reason)
        elif updated != self.current:
            self.current = updated
            log_event(_LOG, logging.INFO, "settings_changed", name=updated.name)
