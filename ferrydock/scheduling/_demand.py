"""Demand by model: slots that requests of a hall and of the site fill, and requests without one.

Owns, in memory, the exponentially fading counts of this hall's requests, and the demand and the
changes of replicas that each other hall reported last. A daemon that becomes hall leader starts
with no observations.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from math import exp
from typing import Annotated

import msgspec
import orjson
from msgspec import Meta

from ..typed_json import Number, load_object

__all__ = ["DemandMeter", "encode_demand", "receive_report"]

# Time constant with which counted arrivals fade. Longer than the pause between two bursts of a few
# callers, shorter than the 12 to 16 s that it takes to carry out a changed plan of replicas.
ARRIVAL_FADE_S = 5.0

# Time constant with which observed holding times of slots fade. Longer than `ARRIVAL_FADE_S`,
# since the holding time changes with the kind of requests, not with their number.
HOLD_TIME_FADE_S = 20.0

# The mean holding time includes this many fictitious requests with this holding time, so that the
# first few observed requests do not determine it.
ASSUMED_HOLD_TIME_S = 1.0
ASSUMED_REQUESTS = 3.0

# No demand is reported before requests have been observed for this long: the number of requests in
# flight, from which the holding time is computed, must first settle.
MIN_OBSERVATION_S = 2.0

# How long another hall's report counts. Reports are polled every 1 s
# (`_remote_halls.DEMAND_POLL_S`), so a few polls may fail.
REMOTE_REPORT_VALID_S = 5.0

# Time constant with which refusals fade. Shorter than `ARRIVAL_FADE_S`: those from before another
# replica has opened must not call for one more.
REFUSAL_FADE_S = 1.5

# Refusals a second are averaged over the time since they began, but over at least this time, so
# that the first refusal does not count as many.
MIN_REFUSAL_TIME_S = 1.0

# Fewer refusals a second are not reported. A single refusal is below it
# after less than a second.
MIN_REFUSALS_PER_S = 0.6

# Keys of refusals and of replicas under change in a report of demand, whose other keys are names of
# services. An older version looks up services by name only, and so ignores them.
REFUSED_KEY = "#refused_slots"
CHANGING_KEY = "#changing"

# Largest demand for one model that a report may hold, in slots: above that of any site, and small
# enough for every calculation with it.
MAX_REPORTED_SLOTS = 1e6

_SlotsByModel = dict[str, dict[str, Annotated[float, Meta(ge=0, le=MAX_REPORTED_SLOTS)]]]


@dataclass(slots=True)
class _ModelDemand:
    """Exponentially fading sums for one model of one service.

    Attributes
    ----------
    arrivals : float
        Requests that needed a slot; fades with `ARRIVAL_FADE_S`.
    observed_s : float
        Time in which `arrivals` were counted; fades like them.
    granted : float
        Requests that got a slot; fades with `HOLD_TIME_FADE_S`.
    held_s : float
        Time that all slots together were held; fades like `granted`.
    in_flight : int
        Requests that hold a slot, as of the last sample.
    refused : float
        Requests that got no slot, for want of a free one; fades with `REFUSAL_FADE_S`.
    refusing_s : float
        Time in which `refused` were counted, from the first of them on; fades like them.
        Without it, half of the refusals a second would show 1 s after they began.
    """

    arrivals: float = 0.0
    observed_s: float = 0.0
    granted: float = 0.0
    held_s: float = 0.0
    in_flight: int = 0
    refused: float = 0.0
    refusing_s: float = 0.0

    def add_time(self, in_flight: int, seconds: float) -> None:
        fade, hold_fade = exp(-seconds / ARRIVAL_FADE_S), exp(-seconds / HOLD_TIME_FADE_S)
        self.arrivals *= fade
        refusal_fade = exp(-seconds / REFUSAL_FADE_S)
        self.refused *= refusal_fade
        self.refusing_s = self.refusing_s * refusal_fade + seconds
        if self.refused_per_s < MIN_REFUSALS_PER_S / 2:
            self.refused = self.refusing_s = 0.0
        self.observed_s = self.observed_s * fade + seconds
        self.granted *= hold_fade
        self.held_s = self.held_s * hold_fade + in_flight * seconds
        self.in_flight = in_flight

    @property
    def slots_wanted(self) -> float:
        return self.arrivals / self.observed_s * self.mean_hold_s if self.observed_s else 0.0

    @property
    def mean_hold_s(self) -> float:
        # Requests in flight have spent on average half of their holding time. If they counted as
        # ended, the first seconds would show too little demand (with three halls and one model,
        # 18 slots after 2 s and 49 after 14 s).
        ended = max(0.0, self.granted - self.in_flight / 2)
        held_s = self.held_s + ASSUMED_REQUESTS * ASSUMED_HOLD_TIME_S
        return held_s / (ended + ASSUMED_REQUESTS)

    @property
    def refused_per_s(self) -> float:
        return self.refused / max(self.refusing_s, MIN_REFUSAL_TIME_S)


class DemandMeter:
    """Measures the slots wanted: arrivals a second times the mean time that a request holds a slot.

    Requests that find no slot count as arrivals, so a model with too few slots shows more demand
    than it has slots. A refused request that the caller sends again counts again.

    Parameters
    ----------
    halls : int
        Number of halls of the site. A hall without a valid report counts like the mean of the
        others.

    Attributes
    ----------
    own_changes : callable
        Returns the replicas of this hall that load the weights of another model while they serve:
        that model by name and epoch of the replica.

    Examples
    --------
    >>> meter = DemandMeter(halls=1)
    >>> meter.sample({}, now_s=0.0)
    >>> for tenth in range(1, 101):
    ...     meter.count_request("engines", "large")
    ...     meter.count_grant("engines", "large")
    ...     meter.sample({("engines", "large"): 8}, now_s=tenth / 10)
    >>> 7.5 < meter.site_slots_wanted("engines", now_s=10.0)["large"] < 8.5
    True
    """

    __slots__ = (
        "_halls",
        "_last_sample_s",
        "_models",
        "_observed_from_s",
        "_remote_changes",
        "_remote_refusals",
        "_remote_reports",
        "own_changes",
    )

    def __init__(self, halls: int):
        self._halls = halls
        self._models: defaultdict[tuple[str, str], _ModelDemand] = defaultdict(_ModelDemand)
        self._remote_reports: dict[str, tuple[float, Mapping[str, Mapping[str, float]]]] = {}
        self._remote_refusals: dict[str, tuple[float, Mapping[str, Mapping[str, float]]]] = {}
        self._remote_changes: dict[str, tuple[float, Mapping[tuple[str, int], str]]] = {}
        self.own_changes: Callable[[], Mapping[tuple[str, int], str]] = dict
        self._observed_from_s: float | None = None
        self._last_sample_s: float | None = None

    def count_request(self, service: str, model: str) -> None:
        """Count a request that needs a slot."""
        self._models[service, model].arrivals += 1

    def count_grant(self, service: str, model: str) -> None:
        """Count a request that got a slot."""
        self._models[service, model].granted += 1

    def count_refusal(self, service: str, model: str) -> None:
        """Count a request that got no slot because none became free in time."""
        self._models[service, model].refused += 1

    def sample(self, in_flight: Mapping[tuple[str, str], int], now_s: float) -> None:
        """Add the time since the last sample to the sums.

        Parameters
        ----------
        in_flight : mapping of (str, str) to int
            This hall's requests in flight, by service and model.
        now_s : float
            Local time of the sample.
        """
        if self._last_sample_s is None or not self._models:
            self._last_sample_s = now_s
            return
        if self._observed_from_s is None:
            self._observed_from_s = self._last_sample_s
        seconds = now_s - self._last_sample_s
        self._last_sample_s = now_s
        for key, demand in self._models.items():
            demand.add_time(in_flight.get(key, 0), seconds)

    def hall_slots_wanted(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return this hall's demand in slots, by service and model.

        Empty until requests have been observed for `MIN_OBSERVATION_S`.
        """
        if self._observed_from_s is None or now_s - self._observed_from_s < MIN_OBSERVATION_S:
            return {}
        found: dict[str, dict[str, float]] = {}
        for (service, model), demand in self._models.items():
            found.setdefault(service, {})[model] = demand.slots_wanted
        return found

    def receive_remote(
        self, hall: str, demand: Mapping[str, Mapping[str, float]], now_s: float
    ) -> None:
        """Replace the demand that another hall reported, in slots by service and model."""
        self._remote_reports[hall] = (now_s, demand)

    def hall_refused_slots(self) -> dict[str, dict[str, float]]:
        """Return the slots that requests without a slot would have filled, by service and model.

        That is this hall's refusals per second times the mean time that a request holds a slot.
        Models with fewer refusals per second than `MIN_REFUSALS_PER_S` are left out.
        """
        found: dict[str, dict[str, float]] = {}
        for (service, model), demand in self._models.items():
            if demand.refused_per_s >= MIN_REFUSALS_PER_S:
                slots = demand.refused_per_s * demand.mean_hold_s
                found.setdefault(service, {})[model] = slots
        return found

    def receive_remote_refusals(
        self, hall: str, refused_slots: Mapping[str, Mapping[str, float]], now_s: float
    ) -> None:
        """Replace the refusals that another hall reported, in slots by service and model."""
        self._remote_refusals[hall] = (now_s, refused_slots)

    def site_refused_slots(self, service: str, now_s: float) -> dict[str, float]:
        """Return the slots that refused requests of all reporting halls lacked, by model.

        Empty if no requests are refused.
        """
        total: defaultdict[str, float] = defaultdict(float)
        reports: list[Mapping[str, Mapping[str, float]]] = [self.hall_refused_slots()]
        reports += [
            refused
            for received_s, refused in self._remote_refusals.values()
            if now_s - received_s <= REMOTE_REPORT_VALID_S
        ]
        for report in reports:
            for model, slots in report.get(service, {}).items():
                total[model] += slots
        return dict(total)

    def receive_remote_changes(
        self, hall: str, changes: Mapping[tuple[str, int], str], now_s: float
    ) -> None:
        """Replace the replicas under change that another hall reported."""
        self._remote_changes[hall] = (now_s, changes)

    def remote_changes(self, now_s: float) -> dict[tuple[str, int], str]:
        """Return the replicas of other halls that are given to another model, and that model."""
        return {
            key: model
            for received_s, changes in self._remote_changes.values()
            if now_s - received_s <= REMOTE_REPORT_VALID_S
            for key, model in changes.items()
        }

    def site_slots_wanted(self, service: str, now_s: float) -> dict[str, float]:
        """Return the site's demand for a service, in slots by model; empty without any report."""
        reports: list[Mapping[str, Mapping[str, float]]] = [self.hall_slots_wanted(now_s)]
        reports += [
            demand
            for received_s, demand in self._remote_reports.values()
            if now_s - received_s <= REMOTE_REPORT_VALID_S
        ]
        known = [report[service] for report in reports if service in report]
        if not known:
            return {}
        total: defaultdict[str, float] = defaultdict(float)
        for report in known:
            for model, slots in report.items():
                total[model] += slots * self._halls / len(known)
        return dict(total)

    def reset(self) -> None:
        """Drop what was observed in this hall, since another daemon schedules it."""
        self._models.clear()
        self._observed_from_s = None
        self._last_sample_s = None


def encode_demand(meter: DemandMeter, now_s: float) -> bytes:
    """Return the report of a hall's demand to another hall.

    Refusals and replicas under change are left out if there are none.
    """
    report: dict[str, object] = {**meter.hall_slots_wanted(now_s)}
    if refused_slots := meter.hall_refused_slots():
        report[REFUSED_KEY] = refused_slots
    if changes := meter.own_changes():
        report[CHANGING_KEY] = [[*key, model] for key, model in sorted(changes.items())]
    return orjson.dumps(report)


def receive_report(meter: DemandMeter, hall: str, data: bytes, now_s: float) -> None:
    """Apply another hall's report to a meter; one of an older version has only the demand.

    Raises
    ------
    ValueError
        If the report cannot be decoded; nothing of it is applied.
    """
    fields = load_object(data)
    refused = msgspec.convert(fields.pop(REFUSED_KEY, {}), _SlotsByModel)
    changing = msgspec.convert(fields.pop(CHANGING_KEY, []), list[tuple[str, Number, str]])
    wanted = msgspec.convert(fields, _SlotsByModel)
    meter.receive_remote_refusals(hall, refused, now_s)
    changes = {(name, epoch): model for name, epoch, model in changing}
    meter.receive_remote_changes(hall, changes, now_s)
    meter.receive_remote(hall, wanted, now_s)
