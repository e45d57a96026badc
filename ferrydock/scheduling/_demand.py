"""Demand by model: how many slots the requests of a hall, and of the site, fill on average.

Owns the counts of this hall since its scheduler began, fading over some seconds, and the last
demand that each other hall reported; both in memory. A new leader starts without an observation.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from math import exp

__all__ = ["DemandMeter"]

# Time over which past requests fade. Longer than the time between two bursts of a few callers,
# shorter than the 12 to 16 s that a change of plan takes. Chosen, not measured.
FADE_S = 5.0

# Time over which the usual time in a slot fades: it changes with the kind of request, not with
# their number. Chosen, not measured.
HOLD_FADE_S = 20.0

# Requests with the assumed time in a slot that the observed ones are mixed with, so that the first
# few decide nothing. Chosen, not measured.
ASSUMED_HOLD_S = 1.0
ASSUMED_REQUESTS = 3.0

# Time from the first request on before which there is no observation: requests in flight, and so
# the time in a slot, must have settled. Chosen, not measured.
OBSERVE_S = 2.0

# How long another hall's report counts: some missed questions. Chosen, not measured.
REPORT_VALID_S = 5.0


@dataclass(slots=True)
class _ModelDemand:
    """Fading sums for one model.

    Attributes
    ----------
    asked, elapsed_s : float
        Requests that asked for a slot, and the time in which they came.
    granted, held_s : float
        Requests that got one, and the time that slots were held.
    in_flight : int
        Requests that hold one now.
    """

    asked: float = 0.0
    elapsed_s: float = 0.0
    granted: float = 0.0
    held_s: float = 0.0
    in_flight: int = 0

    def add_time(self, in_flight: int, seconds: float) -> None:
        fade, hold_fade = exp(-seconds / FADE_S), exp(-seconds / HOLD_FADE_S)
        self.asked *= fade
        self.elapsed_s = self.elapsed_s * fade + seconds
        self.granted *= hold_fade
        self.held_s = self.held_s * hold_fade + in_flight * seconds
        self.in_flight = in_flight

    @property
    def slots_wanted(self) -> float:
        # Requests in flight have held their slot for half of their time, in the mean. Without this
        # 18 slots were wanted after 2 s of a day, and 49 after 14 s (three halls, one model).
        ended = max(0.0, self.granted - self.in_flight / 2)
        held_s = self.held_s + ASSUMED_REQUESTS * ASSUMED_HOLD_S
        hold_s = held_s / (ended + ASSUMED_REQUESTS)
        return self.asked / self.elapsed_s * hold_s if self.elapsed_s else 0.0


class DemandMeter:
    """Measures the slots wanted: arrivals a second times the time that a request holds a slot.

    A request that finds no slot counts as well, so a model that is short shows more demand than it
    has slots; a refused caller that comes back counts again.

    Parameters
    ----------
    halls : int
        Halls of the site; those that report nothing count like the mean of the others.

    Examples
    --------
    >>> meter = DemandMeter(halls=1)
    >>> meter.sample({}, now_s=0.0)
    >>> for tenth in range(1, 101):
    ...     meter.asked("engines", "large")
    ...     meter.granted("engines", "large")
    ...     meter.sample({("engines", "large"): 8}, now_s=tenth / 10)
    >>> 7.5 < meter.site_slots_wanted("engines", now_s=10.0)["large"] < 8.5
    True
    """

    __slots__ = ("_began_s", "_halls", "_models", "_remote", "_sampled_s")

    def __init__(self, halls: int):
        self._halls = halls
        self._models: defaultdict[tuple[str, str], _ModelDemand] = defaultdict(_ModelDemand)
        self._remote: dict[str, tuple[float, Mapping[str, Mapping[str, float]]]] = {}
        self._began_s: float | None = None
        self._sampled_s: float | None = None

    def asked(self, service: str, model: str) -> None:
        """Count a request that asks for a slot."""
        self._models[service, model].asked += 1

    def granted(self, service: str, model: str) -> None:
        """Count a request that got a slot."""
        self._models[service, model].granted += 1

    def sample(self, in_flight: Mapping[tuple[str, str], int], now_s: float) -> None:
        """Take in the requests in flight, by service and model, since the last sample."""
        if self._sampled_s is None or not self._models:
            self._sampled_s = now_s
            return
        if self._began_s is None:
            self._began_s = self._sampled_s
        seconds = now_s - self._sampled_s
        self._sampled_s = now_s
        for key, demand in self._models.items():
            demand.add_time(in_flight.get(key, 0), seconds)

    def hall_slots_wanted(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return this hall's demand by service and model; empty before there is an observation."""
        if self._began_s is None or now_s - self._began_s < OBSERVE_S:
            return {}
        found: dict[str, dict[str, float]] = {}
        for (service, model), demand in self._models.items():
            found.setdefault(service, {})[model] = demand.slots_wanted
        return found

    def receive_remote(
        self, hall: str, demand: Mapping[str, Mapping[str, float]], now_s: float
    ) -> None:
        """Replace the demand of another hall."""
        self._remote[hall] = (now_s, demand)

    def site_slots_wanted(self, service: str, now_s: float) -> dict[str, float]:
        """Return the whole site's demand for a service by model; empty without an observation."""
        reports: list[Mapping[str, Mapping[str, float]]] = [self.hall_slots_wanted(now_s)]
        reports += [d for at_s, d in self._remote.values() if now_s - at_s <= REPORT_VALID_S]
        known = [report[service] for report in reports if service in report]
        if not known:
            return {}
        total: defaultdict[str, float] = defaultdict(float)
        for report in known:
            for model, slots in report.items():
                total[model] += slots * self._halls / len(known)
        return dict(total)

    def forget(self) -> None:
        """Drop this hall's observation: another daemon schedules it."""
        self._models.clear()
        self._began_s = None
        self._sampled_s = None
