"""Settings of ferrydockd: definition and validation of its flags.

Each flag is also read from the environment variable ``FERRYDOCK_<FLAG>``.
"""

import os
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from absl import flags

from ..demo_keys import DEMO_DIGESTS
from ..engines import engine_kinds
from ..outcomes import Fault, Invalid

__all__ = ["Settings", "define_flags", "read_settings"]

_ADDRESS = re.compile(r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}")
_URL = re.compile(r"https?://(\d{1,3}\.){3}\d{1,3}:\d{1,5}(/[^\s]*)?")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_LEVELS = ("debug", "info", "warning", "error")
MAX_PORT = 65535
MAX_OCTET = 255
_STORES = ("embedded", "etcd")


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings of one daemon; the flags of the same names describe them."""

    hall: str
    region: str
    listen: str
    peer_listen: str
    route_listen: str
    advertise: str
    peer_advertise: str
    outside_advertise: str
    outside_peer_advertise: str
    peers: tuple[str, ...]
    store: str
    store_urls: tuple[str, ...]
    box_list_url: str
    weight_store_url: str
    statsd: str
    log_level: str
    embedded: bool
    operator_key_digests: tuple[str, ...]
    stop_readiness_s: float
    stop_longest_s: float | None
    most_connections: int
    first_request_s: float
    body_timeout_s: float
    engine: str
    tls_certificate: str
    tls_key: str
    peer_certificate: str
    peer_key: str
    peer_authority: str
    seed: int


def define_flags() -> None:
    """Define the daemon's flags."""
    text, texts, number = flags.DEFINE_string, flags.DEFINE_list, flags.DEFINE_float
    text("hall", "", "Hall in which this daemon stands.")
    text("region", "", "Region in which the hall stands.")
    text("listen", "127.0.0.1:7070", "IP:PORT for callers and operators; port 0 takes a free one.")
    text("peer_listen", "127.0.0.1:0", "IP:PORT for other daemons; port 0 takes a free one.")
    text("route_listen", "", "IP:PORT for callers of the table's routes; empty: none.")
    text("advertise", "", "IP:PORT at which others in the hall reach --listen; empty: as bound.")
    text("peer_advertise", "", "The same for --peer_listen.")
    text("outside_advertise", "", "IP:PORT at which other halls reach --listen.")
    text("outside_peer_advertise", "", "The same for --peer_listen.")
    texts("peers", [], "IP:PORT of the first other daemons to talk to.")
    text("store", "etcd", "Platform's key-value service: embedded or etcd.")
    texts("store_urls", [], "Addresses http://IP:PORT of the platform's key-value service.")
    text("box_list_url", "", "Address http://IP:PORT of the platform's box list.")
    text("weight_store_url", "", "Address http://IP:PORT of the weight store.")
    text("statsd", "", "IP:PORT for metrics over UDP; empty sends none.")
    text("log_level", "info", "debug, info, warning or error.")
    flags.DEFINE_bool("embedded", False, "Run with a store and stand-in targets in this process.")
    flags.DEFINE_bool("check_settings", False, "Check the settings and exit.")
    texts("operator_key_digests", [], "SHA-256 of operator keys, for a table that names none yet.")
    number("stop_readiness_s", 5.0, "Planned stop: time for the balancer to see /readyz fail.")
    number("stop_longest_s", -1.0, "Planned stop: longest wait for requests; below 0: no limit.")
    flags.DEFINE_integer("most_connections", 4000, "Connections of callers at a time.")
    number("first_request_s", 10.0, "How long a connection may take to send its first head.")
    number("body_timeout_s", 30.0, "How long a caller may take to send a body.")
    text("engine", "http", "Kind of engine on the target boxes.")
    text("tls_certificate", "", "PEM file: certificate towards callers and operators.")
    text("tls_key", "", "PEM file: its key.")
    text("peer_certificate", "", "PEM file: certificate towards other daemons.")
    text("peer_key", "", "PEM file: its key.")
    text("peer_authority", "", "PEM file: authority of all daemons.")
    flags.DEFINE_integer("seed", 0, "Seed of the random choices; 0 draws one.")


def _matches(pattern: re.Pattern, allow_empty: bool = False) -> Callable[[str], bool]:
    def check(text: str) -> bool:
        return (allow_empty and not text) or pattern.fullmatch(text) is not None

    return check


def _is_address(text: str) -> bool:
    """Return whether a text is IP:PORT with each number in its range."""
    if not _ADDRESS.fullmatch(text):
        return False
    host, _, port = text.rpartition(":")
    return int(port) <= MAX_PORT and all(int(part) <= MAX_OCTET for part in host.split("."))


def _is_address_or_empty(text: str) -> bool:
    return not text or _is_address(text)


def _is_url(text: str) -> bool:
    return _URL.fullmatch(text) is not None and _is_address(text.split("/")[2])


def _is_url_or_empty(text: str) -> bool:
    return not text or _is_url(text)


def _each(check: Callable[[str], bool]) -> Callable[[list[str]], bool]:
    return lambda texts: all(check(text) for text in texts)


def _within(low: float, high: float) -> Callable[[float], bool]:
    return lambda value: low <= value <= high


def _is_file_or_empty(text: str) -> bool:
    return not text or os.path.isfile(text)


_ADDRESS_FORM = "IP:PORT, such as 127.0.0.1:7070"
_URL_FORM = "http://IP:PORT"
_CONSTRAINTS: dict[str, tuple[Callable, str]] = {
    "hall": (_matches(_NAME), "a name of letters, digits, '.', '_' and '-'"),
    "region": (_matches(_NAME, allow_empty=True), "a name, or empty"),
    "listen": (_is_address, _ADDRESS_FORM),
    "peer_listen": (_is_address, _ADDRESS_FORM),
    "route_listen": (_is_address_or_empty, _ADDRESS_FORM + ", or empty"),
    "advertise": (_is_address_or_empty, _ADDRESS_FORM + ", or empty"),
    "peer_advertise": (_is_address_or_empty, _ADDRESS_FORM + ", or empty"),
    "outside_advertise": (_is_address_or_empty, _ADDRESS_FORM + ", or empty"),
    "outside_peer_advertise": (_is_address_or_empty, _ADDRESS_FORM + ", or empty"),
    "peers": (_each(_is_address), _ADDRESS_FORM + ", set apart by commas"),
    "store": (lambda text: text in _STORES, "embedded or etcd"),
    "store_urls": (_each(_is_url), _URL_FORM + ", set apart by commas"),
    "box_list_url": (_is_url_or_empty, _URL_FORM),
    "weight_store_url": (_is_url_or_empty, _URL_FORM + ", or empty"),
    "statsd": (_is_address_or_empty, _ADDRESS_FORM + ", or empty"),
    "log_level": (lambda text: text in _LEVELS, ", ".join(_LEVELS)),
    "operator_key_digests": (_each(_matches(_DIGEST)), "SHA-256 in hexadecimal"),
    "stop_readiness_s": (_within(0, 3600), "0 to 3600"),
    "stop_longest_s": (_within(-1, 86400), "-1 to 86400"),
    "most_connections": (_within(1, 100000), "1 to 100000"),
    "first_request_s": (_within(0.1, 600), "0.1 to 600"),
    "body_timeout_s": (_within(0.1, 3600), "0.1 to 3600"),
    "engine": (lambda text: text in engine_kinds(), ", ".join(engine_kinds())),
    "tls_certificate": (_is_file_or_empty, "a file that exists, or empty"),
    "tls_key": (_is_file_or_empty, "a file that exists, or empty"),
    "peer_certificate": (_is_file_or_empty, "a file that exists, or empty"),
    "peer_key": (_is_file_or_empty, "a file that exists, or empty"),
    "peer_authority": (_is_file_or_empty, "a file that exists, or empty"),
}


def read_settings(values: flags.FlagValues) -> Settings | Invalid:
    """Return the settings from parsed flags, or all faults with flag, value and allowed values."""
    given: dict[str, Any] = {name: values[name].value for name in Settings.__slots__}
    if given["embedded"]:
        given["hall"] = given["hall"] or "hall-a"
        if not values["store"].present:
            given["store"] = "embedded"
    faults = []
    for name, (check, allowed) in _CONSTRAINTS.items():
        if not check(given[name]):
            faults.append(Fault(f"--{name}", f"{given[name]!r} is not allowed; allowed: {allowed}"))
    faults += _combination_faults(given)
    if faults:
        return Invalid(tuple(faults))
    given["stop_longest_s"] = given["stop_longest_s"] if given["stop_longest_s"] >= 0 else None
    for name in ("peers", "store_urls", "operator_key_digests"):
        given[name] = tuple(given[name])
    return Settings(**given)


_FILE_GROUPS = (
    ("tls_certificate", "tls_key"),
    ("peer_certificate", "peer_key", "peer_authority"),
)


def _combination_faults(given: Mapping) -> list[Fault]:
    """Return faults in the combination of settings that are valid one by one."""
    faults = []
    embedded = given["embedded"]
    if embedded and (given["store"] != "embedded" or given["store_urls"]):
        faults.append(Fault("--embedded", "True is not allowed with a real store; allowed: False"))
    if not embedded and given["store"] == "embedded":
        faults.append(Fault("--store", "'embedded' is allowed with --embedded only"))
    if given["store"] == "etcd" and not given["store_urls"]:
        faults.append(Fault("--store_urls", f"'' is not allowed; allowed: {_URL_FORM}"))
    if not embedded and not given["box_list_url"]:
        faults.append(Fault("--box_list_url", f"'' is not allowed; allowed: {_URL_FORM}"))
    if not embedded and DEMO_DIGESTS.intersection(given["operator_key_digests"]):
        faults.append(Fault("--operator_key_digests", "the demo key is allowed embedded only"))
    for group in _FILE_GROUPS:
        filled = [name for name in group if given[name]]
        if filled and len(filled) != len(group):
            missing = next(name for name in group if not given[name])
            problem = f"'' is not allowed with --{filled[0]}; allowed: a file that exists"
            faults.append(Fault(f"--{missing}", problem))
    return faults
