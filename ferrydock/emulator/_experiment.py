"""The file that tells an emulation what to play, checked field by field."""

import random
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass

from ..outcomes import Fault, Invalid

__all__ = [
    "KINDS",
    "Experiment",
    "Load",
    "Trouble",
    "demo_experiment",
    "draw_troubles",
    "read_experiment",
]

_SOAK_KINDS = {
    "worker_dead": "model workers fall silent for good, members of replicas first",
    "rack_dead": "all model workers of one domain fall silent for good",
    "worker_leaving": "model workers say that they will leave",
    "orders_late": "orders to workers are left unanswered and carried out later",
    "store_down": "the store gives no answer (how: silent, busy, many, reset)",
    "store_lost": "answers of the store to writes are lost",
    "history_lost": "the store forgets its history",
    "daemon_killed": "daemons are killed and start again",
    "daemon_frozen": "daemons stand still and go on",
    "daemon_stopped": "daemons are stopped as planned and start again",
    "configuration": "the operator writes a configuration",
}
# Not drawn by `draw_troubles`: a further kind there would change what every seed stands for.
_STOP_KINDS = {
    "stop_watched": "a daemon is stopped as planned `count` times, `for_s` after each start, and "
    "callers stay with it until its process is gone",
    "stop_repeated": "daemons that stop get SIGTERM again and again",
    "stop_hangup": "daemons that stop get SIGHUP again and again",
    "stop_frozen": "daemons that stop stand still `count` times, for `for_s` in all, and go on",
}
_CRASH_KINDS = {
    "crashing_request": "a request that crashes each worker that runs it comes for `for_s`, from "
    "`count` callers at a time",
    "workers_crash": "heads of replicas and plain workers crash at one moment, and start again",
}
_LEAVING_KINDS = {
    "target_replaced": "targets that are used say that they leave, and new ones join",
    "waits_silent": "what daemons wait for at the store is never answered; later calls are",
    "leader_waits_silent": "the same for the daemons that lead a hall, and for no others",
    "store_down_for_some": "the store gives `count` daemons no answer (how: as for store_down)",
}
_ERA_KINDS = {
    "store_older": "the store goes away for a second and comes back as it was `for_s` before (how: "
    "as for store_down)",
}
_NOTICE_KINDS = {
    "target_limited": "targets that are used name a limit in their answers for `for_s`",
    "target_says_leaving": "a target that is used says in its answers that it leaves, its entry "
    "after `for_s`",
    "target_sheds": "targets that are used refuse all requests for `for_s` and ask for rest",
}
KINDS = {
    **_SOAK_KINDS,
    **_STOP_KINDS,
    **_CRASH_KINDS,
    **_LEAVING_KINDS,
    **_ERA_KINDS,
    **_NOTICE_KINDS,
}
_HOWS = ("silent", "busy", "many", "reset")
_CLASSES = ("write-large", "write-small", "look", "file")


@dataclass(frozen=True, slots=True)
class MixChange:
    """A time from which on the classes have other parts."""

    at_s: float
    mix: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Load:
    """Requests a second, the part of each class, and how the parts change."""

    requests_per_s: float
    mix: Mapping[str, float]
    changes: tuple[MixChange, ...] = ()

    def mix_at(self, at_s: float) -> Mapping[str, float]:
        """Return the part of each class at a time."""
        past = [change for change in self.changes if change.at_s <= at_s]
        return max(past, key=lambda change: change.at_s).mix if past else self.mix


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that goes wrong at a time, for a while.

    Attributes
    ----------
    daemon : str
        Name of the daemon that is meant; empty for any.
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
        Time after the load for what is under way, and for the final check.
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


def _number(place, fields, name, default, low, high, faults, whole=False):
    value = fields.get(name, default)
    right_type = isinstance(value, int) or (isinstance(value, float) and not whole)
    if not right_type or isinstance(value, bool) or not low <= value <= high:
        noun = "a whole number" if whole else "a number"
        faults.append(Fault(f"{place}{name}", f"{value!r} is not {noun} from {low} to {high}"))
        return default
    return value


def _unknown(place: str, fields: Mapping, known: tuple[str, ...], faults: list[Fault]) -> None:
    for name in fields:
        if name not in known:
            faults.append(Fault(f"{place}{name}", f"is not known; known: {', '.join(known)}"))


def read_experiment(text: str) -> Experiment | Invalid:
    """Return the experiment in a TOML text, or every fault with its field."""
    try:
        fields = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Invalid((Fault("file", f"is not TOML: {error}"),))
    faults: list[Fault] = []
    known = ("name", "seed", "length_s", "halls", "daemons_per_hall", "domain_size")
    _unknown("", fields, (*known, "settle_s", "event_s", "load", "trouble"), faults)
    halls = fields.get("halls", ["hall-a"])
    if not (isinstance(halls, list) and halls and all(isinstance(h, str) and h for h in halls)):
        faults.append(Fault("halls", f"{halls!r} is not a list of names"))
        halls = ["hall-a"]
    experiment = Experiment(
        name=str(fields.get("name", "experiment")),
        seed=_number("", fields, "seed", 1, 0, 2**31, faults, whole=True),
        length_s=_number("", fields, "length_s", 8.0, 1, 600, faults),
        halls=tuple(halls),
        daemons_per_hall=_number("", fields, "daemons_per_hall", 1, 1, 8, faults, whole=True),
        domain_size=_number("", fields, "domain_size", 10, 4, 40, faults, whole=True),
        load=_load(fields.get("load", {}), faults),
        troubles=_troubles(fields.get("trouble", []), tuple(halls), faults),
        settle_s=_number("", fields, "settle_s", 6.0, 0, 120, faults),
        event_s=_number("", fields, "event_s", 0.02, 0, 10, faults),
    )
    return Invalid(tuple(faults)) if faults else experiment


def _load(fields, faults: list[Fault]) -> Load:
    if not isinstance(fields, dict):
        faults.append(Fault("load", "is not a table"))
        fields = {}
    _unknown("load.", fields, ("requests_per_s", "mix", "change"), faults)
    rate = _number("load.", fields, "requests_per_s", 20.0, 0.1, 500, faults)
    mix = _mix("load.", fields, faults)
    entries = fields.get("change", [])
    if not isinstance(entries, list):
        faults.append(Fault("load.change", "is not a list of tables: write [[load.change]]"))
        entries = []
    return Load(rate, mix, tuple(_mix_change(n, entry, faults) for n, entry in enumerate(entries)))


def _mix_change(number: int, fields: Mapping, faults: list[Fault]) -> MixChange:
    place = f"load.change[{number}]."
    _unknown(place, fields, ("at_s", "mix"), faults)
    at_s = _number(place, fields, "at_s", 1.0, 0, 600, faults)
    return MixChange(at_s, _mix(place, fields, faults))


def _mix(place: str, fields: Mapping, faults: list[Fault]) -> Mapping[str, float]:
    mix = fields.get("mix", dict.fromkeys(_CLASSES, 1.0))
    if not isinstance(mix, dict) or not mix:
        faults.append(Fault(f"{place}mix", f"{mix!r} is not a table of classes"))
        mix = dict.fromkeys(_CLASSES, 1.0)
    _unknown(f"{place}mix.", mix, _CLASSES, faults)
    for name in mix:
        _number(f"{place}mix.", mix, name, 1.0, 0, 1e6, faults)
    return mix


def _troubles(entries, halls: tuple[str, ...], faults: list[Fault]) -> tuple[Trouble, ...]:
    if not isinstance(entries, list):
        faults.append(Fault("trouble", "is not a list of tables: write [[trouble]]"))
        return ()
    found = []
    for number, fields in enumerate(entries):
        place = f"trouble[{number}]."
        known = ("at_s", "kind", "count", "for_s", "hall", "how", "daemon")
        _unknown(place, fields, known, faults)
        kind = fields.get("kind")
        if kind not in KINDS:
            faults.append(Fault(f"{place}kind", f"{kind!r} is none of {', '.join(KINDS)}"))
        hall = fields.get("hall", "")
        if hall and hall not in halls:
            faults.append(Fault(f"{place}hall", f"{hall!r} is none of the halls"))
        how = fields.get("how", "silent")
        if how not in _HOWS:
            faults.append(Fault(f"{place}how", f"{how!r} is none of {', '.join(_HOWS)}"))
        found.append(
            Trouble(
                at_s=_number(place, fields, "at_s", 1.0, 0, 600, faults),
                kind=str(kind),
                count=_number(place, fields, "count", 1, 1, 100, faults, whole=True),
                for_s=_number(place, fields, "for_s", 2.0, 0.1, 120, faults),
                hall=hall,
                how=how,
                daemon=str(fields.get("daemon", "")),
            )
        )
    return tuple(found)


def demo_experiment() -> Experiment:
    """Return what the demonstration plays: two halls, a worker and a daemon lost on the way."""
    return Experiment(
        name="demonstration",
        seed=7,
        length_s=7.0,
        halls=("hall-a", "hall-b"),
        daemons_per_hall=1,
        domain_size=6,
        load=Load(20.0, dict.fromkeys(_CLASSES, 1.0)),
        troubles=(Trouble(2.0, "worker_dead"), Trouble(3.5, "daemon_killed")),
    )


def draw_troubles(seed: int, length_s: float, halls: tuple[str, ...], count: int) -> list[Trouble]:
    """Return troubles that come in series and overlap, as a seed draws them."""
    rng = random.Random(seed)
    drawn: list[Trouble] = []
    while len(drawn) < count:
        kind = rng.choice(list(_SOAK_KINDS))
        at_s = rng.uniform(0.3, max(0.4, length_s - 1.5))
        for _ in range(rng.choice((1, 1, 2, 3))):
            for_s = rng.uniform(0.4, 3.0)
            hall = rng.choice(("", *halls))
            how = rng.choice(_HOWS)
            drawn.append(Trouble(at_s, kind, rng.choice((1, 1, 2)), for_s, hall, how))
            at_s = min(length_s, at_s + rng.uniform(0.05, 1.5))
    return sorted(drawn[:count], key=lambda trouble: trouble.at_s)
