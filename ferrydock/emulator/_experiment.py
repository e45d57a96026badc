"""Experiment files: what an emulation plays, parsed from TOML and checked field by field."""

import random
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from ..outcomes import Fault, Invalid
from ..standins.fleet import BrokenKind, EndlessKind, EndlessPeerKind
from ._links import LinkFailure

__all__ = [
    "BROKEN_CONTROL_KIND",
    "BROKEN_KIND",
    "BROKEN_STORE_KIND",
    "ENDLESS_CALLERS_KIND",
    "ENDLESS_KIND",
    "ENDLESS_PEERS_KIND",
    "ENDLESS_STORE_KIND",
    "ENDLESS_STORE_OF_SOME_KIND",
    "FOREIGN_KIND",
    "LEADERS_KIND",
    "LISTS_KIND",
    "ORDERS_KIND",
    "RESTARTS_KIND",
    "SILENCE_KIND",
    "STOPS_IN_TURN_KIND",
    "KINDS",
    "Experiment",
    "Load",
    "MixChange",
    "Silent",
    "Trouble",
    "demo_experiment",
    "draw_troubles",
    "read_experiment",
]

_SOAK_KINDS = {
    "worker_dead": "model workers die and never answer again, members of replicas first",
    "rack_dead": "all model workers of one domain die and never answer again",
    "worker_leaving": "model workers announce that they will leave",
    "orders_late": "orders to workers are left unanswered and carried out later",
    "store_down": "the store answers no calls (how: silent, busy, many, reset)",
    "store_lost": "answers of the store to writes are lost",
    "history_lost": "the store compacts its history",
    "daemon_killed": "daemons are killed and restarted",
    "daemon_frozen": "daemons are suspended and resumed",
    "daemon_stopped": "daemons are stopped as planned and restarted",
    "configuration": "the operator writes a configuration",
}
# `draw_troubles` does not draw these: another kind there would change what each seed produces.
_STOP_KINDS = {
    "stop_watched": "a daemon is stopped as planned `count` times, `for_s` after each start, while "
    "callers stay connected until its process has ended",
    "stop_repeated": "daemons that are stopping receive SIGTERM repeatedly",
    "stop_hangup": "daemons that are stopping receive SIGHUP repeatedly",
    "stop_frozen": "daemons that are stopping are suspended `count` times, for `for_s` in total",
}
_CRASH_KINDS = {
    "crashing_request": "a request that crashes each worker that runs it is sent for `for_s` by "
    "`count` concurrent callers",
    "crashing_part": "requests that share a part of their prompt, which crashes each worker, are "
    "sent for `for_s` by `count` concurrent callers, beside sound ones with the other parts",
    "workers_crash": "heads of replicas and a plain worker crash at the same time, and restart",
}
_LEAVING_KINDS = {
    "target_replaced": "targets in use announce that they leave, and new ones join",
    "waits_silent": "calls under way at the store are never answered; later calls are",
    "leader_waits_silent": "as waits_silent, only for the daemons that lead a hall",
    "store_down_for_some": "the store does not answer `count` daemons (how: as for store_down)",
}
_ERA_KINDS = {
    "store_older": "after an outage of one second the store is restored to its state of `for_s` "
    "earlier (how: as for store_down)",
}
_NOTICE_KINDS = {
    "target_limited": "targets in use announce a rate limit in their answers for `for_s`",
    "target_says_leaving": "a target in use announces in its answers that it leaves, its entry "
    "only `for_s` later",
    "target_sheds": "targets in use refuse all requests for `for_s` and ask for a back-off",
}
_DRAIN_KINDS = {
    "targets_join": "`count` targets of the plain service join in each hall",
    "target_unlisted": "entries of targets in use are removed, and new targets join",
    "streams_torn": "streams break off in the middle of an event, and resumed ones may repeat "
    "events, for `for_s`",
    "store_slow": "the store answers after a random delay for `for_s`",
    "store_slow_for_some": "as store_slow, for `count` daemons",
    "leader_store_slow": "as store_slow, only for the daemons that lead a hall",
    "leader_store_down": "as store_down, only for the daemons that lead a hall",
    "store_returns": "as store_down; the store comes back to the daemons one after another",
    "connections_silent": "open connections to the store are never answered again; new ones are",
    "leader_connections_silent": "as connections_silent, only for the daemons that lead a hall",
    "calls_lost": "a share of the calls to the store is never answered for `for_s`",
    "leader_calls_lost": "as calls_lost, only for the daemons that lead a hall",
    "leader_suspended": "leaders are suspended `count` times in series, up to `for_s` each time",
    "daemon_suspended": "as leader_suspended, for a random daemon",
    "leader_starved": "leaders run for a small part of the time for `for_s`",
    "daemon_starved": "as leader_starved, for `count` random daemons",
    "processor_busy": "`count` processes use a core each for `for_s`",
    "leader_killed": "leaders are killed and restarted",
    "leader_stopped": "leaders are stopped as planned and restarted",
    "daemon_hung_up": "daemons receive SIGHUP `count` times",
}
_LINK_KINDS = {
    "links_lost": "`count` daemons lose their links to all workers for `for_s` (how: hang, reset, "
    "reset_hang, live_on, live_on_hang)",
    "callers_skewed": "most callers connect anew to one daemon for `for_s`",
}
FOREIGN_KIND = "entries_foreign"
_FOREIGN_KINDS = {
    FOREIGN_KIND: "another writer adds `count` entries at a time that name no target, for `for_s`, "
    "and overwrites some of those in use",
}
BROKEN_CONTROL_KIND = "control_broken"
BROKEN_KIND = "workers_broken"
BROKEN_STORE_KIND = "store_broken"
_BROKEN_KINDS = {
    BROKEN_KIND: "`count` workers answer callers with what is no answer, for `for_s` (how: what is "
    "wrong with its head)",
    BROKEN_CONTROL_KIND: "the same for their answers to orders and their reports",
    BROKEN_STORE_KIND: "the store answers a share of all calls so, after it has executed them",
}
ENDLESS_CALLERS_KIND = "callers_endless"
ENDLESS_KIND = "workers_endless"
ENDLESS_PEERS_KIND = "peers_endless"
ENDLESS_STORE_KIND = "store_endless"
ENDLESS_STORE_OF_SOME_KIND = "store_endless_for_some"
SILENCE_KIND = "workers_silent"
STOPS_IN_TURN_KIND = "stops_in_turn"
_LOST_KINDS = {
    STOPS_IN_TURN_KIND: "`count` daemons are stopped as planned `for_s` apart, leaders first, "
    "killed at the end of their grace, and restarted",
    SILENCE_KIND: "sound workers stand still `count` times, up to `for_s` each time, and go on "
    "(how: plain, member, head, replica, heads_third, heads_two_thirds, hall)",
    ENDLESS_KIND: "`count` workers answer with bytes that are no answer, without end, for `for_s` "
    "(how: the part of the answer)",
    ENDLESS_CALLERS_KIND: "`count` callers send requests without end for `for_s` (how: the part)",
    ENDLESS_STORE_KIND: "the store answers a share of the reads and watches with bytes without end "
    "for `for_s` (how: as for workers_endless)",
    ENDLESS_STORE_OF_SOME_KIND: "as store_endless, for `count` daemons",
    ENDLESS_PEERS_KIND: "`count` daemons are killed, leaders first, and restarted `for_s` later; "
    "until then those that connect to their internal ports get bytes without end (how: which)",
    "configuration_changed": "the operator changes routes, limits and keys that no caller uses",
}
LEADERS_KIND = "leaders_in_turn"
LISTS_KIND = "lists_held"
ORDERS_KIND = "orders_very_late"
RESTARTS_KIND = "workers_restart"
_TERM_KINDS = {
    LEADERS_KIND: "whichever daemon leads the hall loses the store, `count` times, up to `for_s` "
    "each time (how: as for store_down)",
    LISTS_KIND: "watches of the target list by `count` daemons are answered only after `for_s`",
    ORDERS_KIND: "for `for_s`, a share of the orders is left unanswered and carried out 2 to 12 s "
    "later",
    RESTARTS_KIND: "`count` workers crash, `for_s` apart, and start again under the same id, often "
    "while their hall has no leader",
}
KINDS = {
    **_SOAK_KINDS,
    **_STOP_KINDS,
    **_CRASH_KINDS,
    **_LEAVING_KINDS,
    **_ERA_KINDS,
    **_NOTICE_KINDS,
    **_DRAIN_KINDS,
    **_LINK_KINDS,
    **_FOREIGN_KINDS,
    **_LOST_KINDS,
    **_BROKEN_KINDS,
    **_TERM_KINDS,
}


class Silent(StrEnum):
    """Which workers stand still at the same time."""

    PLAIN = "plain"
    MEMBER = "member"
    HEAD = "head"
    REPLICA = "replica"
    HEADS_THIRD = "heads_third"
    HEADS_TWO_THIRDS = "heads_two_thirds"
    HALL = "hall"


_STORE_FAILURES = ("silent", "busy", "many", "reset")
_FAILURES = (
    *_STORE_FAILURES,
    *(failure for failure in LinkFailure if failure != "reset"),
    *Silent,
    *BrokenKind,
    *EndlessKind,
    *EndlessPeerKind,
)
_USUAL_CLASSES = ("write-large", "write-small", "look", "file")
_REQUEST_CLASSES = (*_USUAL_CLASSES, "write-long", "tell", "tell-long", "work")


@dataclass(frozen=True, slots=True)
class MixChange:
    """New shares of the request classes from a time on."""

    at_s: float
    mix: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Load:
    """Requests per second, relative weight of each request class, and changes of the weights."""

    requests_per_s: float
    mix: Mapping[str, float]
    changes: tuple[MixChange, ...] = ()

    def mix_at(self, at_s: float) -> Mapping[str, float]:
        """Return the weight of each class at a time of the run."""
        begun_changes = [change for change in self.changes if change.at_s <= at_s]
        return max(begun_changes, key=lambda change: change.at_s).mix if begun_changes else self.mix


@dataclass(frozen=True, slots=True)
class Trouble:
    """A fault to inject into a run.

    Attributes
    ----------
    at_s, for_s : float
        Seconds from the beginning of the load, and how long the fault lasts.
    kind : str
        A key of `KINDS`.
    count : int
        How many daemons, targets or callers take part, or how often it is done.
    hall : str
        Hall that it is restricted to; empty for all halls.
    how : str
        How the store fails, or the links; or which workers stand still, or what workers send
        without end.
    daemon : str
        Name of the daemon concerned; empty for any.
    """

    at_s: float
    kind: str
    count: int = 1
    for_s: float = 2.0
    hall: str = ""
    how: str = "silent"
    daemon: str = ""


@dataclass(frozen=True, slots=True)
class Experiment:
    """What to play.

    Attributes
    ----------
    event_s : float
        Time between two events of a stream.
    length_s : float
        How long requests are sent.
    settle_s : float
        Additional time after the load for replicas to form again before the run is judged.
    persistent_callers : int
        Callers per daemon that stay connected to it and send one request after another.
    store_latency_s : float
        Time that an answer of the undisturbed store takes on its way.
    has_small_buffers : bool
        Whether targets have a short queue of connections to accept and small receive buffers.
    has_foreign_entries : bool
        Whether the target list may hold entries of another writer before the daemons start.
    has_long_answers : bool
        Whether requests state how many tokens their answers may have, some of them many, and
        routes allow as long as a planned stop takes.
    has_terms : bool
        Whether changes of leaders, late orders and restarts of workers are counted, and must occur.
    """

    name: str
    seed: int
    length_s: float
    halls: tuple[str, ...]
    daemons_per_hall: int
    domain_size: int
    load: Load
    troubles: tuple[Trouble, ...]
    settle_s: float = 6.0
    event_s: float = 0.02
    persistent_callers: int = 0
    store_latency_s: float = 0.0
    has_small_buffers: bool = False
    has_foreign_entries: bool = False
    has_long_answers: bool = False
    has_terms: bool = False


def _read_number(place, fields, name, default, low, high, faults, integer=False):
    value = fields.get(name, default)
    right_type = isinstance(value, int) or (isinstance(value, float) and not integer)
    if not right_type or isinstance(value, bool) or not low <= value <= high:
        noun = "a whole number" if integer else "a number"
        faults.append(Fault(f"{place}{name}", f"{value!r} is not {noun} from {low} to {high}"))
        return default
    return value


def _check_keys(place: str, fields: Mapping, known: tuple[str, ...], faults: list[Fault]) -> None:
    for name in fields:
        if name not in known:
            faults.append(Fault(f"{place}{name}", f"is not known; known: {', '.join(known)}"))


def read_experiment(text: str) -> Experiment | Invalid:
    """Return the experiment in a TOML text, or all faults, each with its field."""
    try:
        fields = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Invalid((Fault("file", f"is not TOML: {error}"),))
    faults: list[Fault] = []
    known = ("name", "seed", "length_s", "halls", "daemons_per_hall", "domain_size")
    _check_keys("", fields, (*known, "settle_s", "event_s", "load", "trouble"), faults)
    halls = fields.get("halls", ["hall-a"])
    if not (isinstance(halls, list) and halls and all(isinstance(h, str) and h for h in halls)):
        faults.append(Fault("halls", f"{halls!r} is not a list of names"))
        halls = ["hall-a"]
    experiment = Experiment(
        name=str(fields.get("name", "experiment")),
        seed=_read_number("", fields, "seed", 1, 0, 2**31, faults, integer=True),
        length_s=_read_number("", fields, "length_s", 8.0, 1, 600, faults),
        halls=tuple(halls),
        daemons_per_hall=_read_number(
            "", fields, "daemons_per_hall", 1, 1, 8, faults, integer=True
        ),
        domain_size=_read_number("", fields, "domain_size", 10, 4, 40, faults, integer=True),
        load=_read_load(fields.get("load", {}), faults),
        troubles=_read_troubles(fields.get("trouble", []), tuple(halls), faults),
        settle_s=_read_number("", fields, "settle_s", 6.0, 0, 120, faults),
        event_s=_read_number("", fields, "event_s", 0.02, 0, 10, faults),
    )
    return Invalid(tuple(faults)) if faults else experiment


def _read_load(fields, faults: list[Fault]) -> Load:
    if not isinstance(fields, dict):
        faults.append(Fault("load", "is not a table"))
        fields = {}
    _check_keys("load.", fields, ("requests_per_s", "mix", "change"), faults)
    rate = _read_number("load.", fields, "requests_per_s", 20.0, 0.1, 500, faults)
    mix = _read_mix("load.", fields, faults)
    entries = fields.get("change", [])
    if not isinstance(entries, list):
        faults.append(Fault("load.change", "is not a list of tables: write [[load.change]]"))
        entries = []
    return Load(
        rate, mix, tuple(_read_mix_change(n, entry, faults) for n, entry in enumerate(entries))
    )


def _read_mix_change(number: int, fields: Mapping, faults: list[Fault]) -> MixChange:
    place = f"load.change[{number}]."
    _check_keys(place, fields, ("at_s", "mix"), faults)
    at_s = _read_number(place, fields, "at_s", 1.0, 0, 600, faults)
    return MixChange(at_s, _read_mix(place, fields, faults))


def _read_mix(place: str, fields: Mapping, faults: list[Fault]) -> Mapping[str, float]:
    mix = fields.get("mix", dict.fromkeys(_USUAL_CLASSES, 1.0))
    if not isinstance(mix, dict) or not mix:
        faults.append(Fault(f"{place}mix", f"{mix!r} is not a table of classes"))
        mix = dict.fromkeys(_USUAL_CLASSES, 1.0)
    _check_keys(f"{place}mix.", mix, _REQUEST_CLASSES, faults)
    for name in mix:
        _read_number(f"{place}mix.", mix, name, 1.0, 0, 1e6, faults)
    return mix


def _read_troubles(entries, halls: tuple[str, ...], faults: list[Fault]) -> tuple[Trouble, ...]:
    if not isinstance(entries, list):
        faults.append(Fault("trouble", "is not a list of tables: write [[trouble]]"))
        return ()
    found = []
    for number, fields in enumerate(entries):
        place = f"trouble[{number}]."
        known = ("at_s", "kind", "count", "for_s", "hall", "how", "daemon")
        _check_keys(place, fields, known, faults)
        kind = fields.get("kind")
        if kind not in KINDS:
            faults.append(Fault(f"{place}kind", f"{kind!r} is none of {', '.join(KINDS)}"))
        hall = fields.get("hall", "")
        if hall and hall not in halls:
            faults.append(Fault(f"{place}hall", f"{hall!r} is none of the halls"))
        how = fields.get("how", "silent")
        if how not in _FAILURES:
            faults.append(Fault(f"{place}how", f"{how!r} is none of {', '.join(_FAILURES)}"))
        found.append(
            Trouble(
                at_s=_read_number(place, fields, "at_s", 1.0, 0, 600, faults),
                kind=str(kind),
                count=_read_number(place, fields, "count", 1, 1, 100, faults, integer=True),
                for_s=_read_number(place, fields, "for_s", 2.0, 0.1, 120, faults),
                hall=hall,
                how=how,
                daemon=str(fields.get("daemon", "")),
            )
        )
    return tuple(found)


def demo_experiment() -> Experiment:
    """Return the demonstration: two halls that lose a worker, then a daemon."""
    return Experiment(
        name="demonstration",
        seed=7,
        length_s=7.0,
        halls=("hall-a", "hall-b"),
        daemons_per_hall=1,
        domain_size=6,
        load=Load(20.0, dict.fromkeys(_USUAL_CLASSES, 1.0)),
        troubles=(Trouble(2.0, "worker_dead"), Trouble(3.5, "daemon_killed")),
    )


def draw_troubles(seed: int, length_s: float, halls: tuple[str, ...], count: int) -> list[Trouble]:
    """Return `count` random troubles in overlapping series; the same for the same arguments."""
    rng = random.Random(seed)
    drawn: list[Trouble] = []
    while len(drawn) < count:
        kind = rng.choice(list(_SOAK_KINDS))
        at_s = rng.uniform(0.3, max(0.4, length_s - 1.5))
        for _ in range(rng.choice((1, 1, 2, 3))):
            for_s = rng.uniform(0.4, 3.0)
            hall = rng.choice(("", *halls))
            how = rng.choice(_STORE_FAILURES)
            drawn.append(Trouble(at_s, kind, rng.choice((1, 1, 2)), for_s, hall, how))
            at_s = min(length_s, at_s + rng.uniform(0.05, 1.5))
    return sorted(drawn[:count], key=lambda trouble: trouble.at_s)
