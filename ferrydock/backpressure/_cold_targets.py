"""Which targets are cold, and for how much longer.

Owns, in memory, what the newest known entry of each target says about it. Relies on the
configuration for what a cold target bears, and on the target list for the entries, each of which is
evaluated once, when it is first seen here.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import inf

from ..configuration import ColdSpec, ServiceSpec
from ..logs import log_event
from ..targets import Target
from ._cold_shares import ColdBound

__all__ = ["ColdTargets"]

_LOG = logging.getLogger("ferrydock.backpressure")

# How long an unlisted target is remembered: longer than an outage of the store or a cut of a hall
# during which a target restarts. After that, its entry is that of a new target.
UNLISTED_RETENTION_S = 600.0


@dataclass(slots=True)
class _State:
    """What is known of a target.

    Attributes
    ----------
    entry : Target
        The last evaluated entry.
    age_mark : (int, int)
        Age mark of the newest evaluated entry.
    reported_s : float
        What that entry said, in seconds.
    cold_since_s, cold_until_s : float
        Local times between which the target is cold.
    is_assumed : bool
        Whether it is cold because it started, and not because an entry said so.
    last_listed_s : float
        Local time at which it was last in the list.
    is_missing : bool
        Whether it was not in the list when the list was last evaluated.
    is_cold_logged : bool
        Whether `target_cold` was logged, and `target_warm` not yet.
    """

    entry: Target
    age_mark: tuple[int, int]
    reported_s: float
    cold_since_s: float
    cold_until_s: float
    last_listed_s: float
    is_assumed: bool = False
    is_missing: bool = False
    is_cold_logged: bool = False


class ColdTargets:
    """The cold targets, by the entries of the target list.

    Parameters
    ----------
    service : callable, optional
        Returns the spec of a service by its name, or None; by default no service has cold targets.
    overshoot, slack : float, optional
        Requests that a cold target may get within one second: the overshoot times its rate, plus
        the slack. If one of them is None, no target counts as cold.
    version : callable, optional
        Returns a number that changes if `service` may return other specs.

    Notes
    -----
    An entry says how much longer its target stays cold, as of when it was written. That time is not
    known here, so it counts from when the entry is first seen, which is never too short. Seeing the
    entry again does not extend it. Only an entry with a newer age mark changes what is known.

    After the first request, a target that restarts with an entry that says nothing counts as cold
    for `ColdSpec.start_s`. This ends only with its time: the entries that follow may say nothing
    either. Where entries show no incarnation, an id belongs to one start of a target. One that was
    missing from the list did not restart then: its entry lapsed, in an outage of the store perhaps,
    and it is as cold as its next entry says.

    Examples
    --------
    >>> service = ServiceSpec("s", 100, None, ColdSpec(rate_per_s=23.0, start_s=6.0))
    >>> cold = ColdTargets(lambda name: service, overshoot=1.5, slack=5.0)
    >>> target = Target("t", "s", "", "h", 8, age_mark=(7, 1), cold_for_s=4.0)
    >>> cold.remaining_s(target, 10.0), cold.remaining_s(target, 11.0)
    (4.0, 3.0)
    >>> cold.bound(target, 11.0)
    ColdBound(rate_per_s=23.0, window_requests=39.5)
    >>> cold.remaining_s(Target("t", "s", "", "h", 8, age_mark=(7, 2)), 12.0)
    0.0
    """

    __slots__ = (
        "_has_traffic",
        "_last_end_s",
        "_states",
        "overshoot",
        "service",
        "slack",
        "version",
    )

    def __init__(
        self,
        service: Callable[[str], ServiceSpec | None] = lambda name: None,
        overshoot: float | None = None,
        slack: float | None = None,
        version: Callable[[], int] = lambda: 0,
    ):
        self.service = service
        self.overshoot = overshoot
        self.slack = slack
        self.version = version
        self._has_traffic = False
        self._states: dict[str, _State] = {}
        self._last_end_s = -inf

    @property
    def is_enabled(self) -> bool:
        """Whether the deployment bounds the requests at cold targets."""
        return self.overshoot is not None and self.slack is not None

    def spec(self, target: Target) -> ColdSpec | None:
        """Return what a target bears while it is cold; None if nothing bounds its requests."""
        service = self.service(target.service) if self.is_enabled else None
        return service.cold if service is not None else None

    def bound(self, target: Target, now_s: float) -> ColdBound | None:
        """Return the bound on a target's requests; None if it is not cold."""
        if self.remaining_s(target, now_s) <= 0:
            return None
        spec = self.spec(target)
        if spec is None or self.overshoot is None or self.slack is None:
            return None
        return ColdBound(spec.rate_per_s, spec.rate_per_s * self.overshoot + self.slack)

    def remaining_s(self, target: Target, now_s: float) -> float:
        """Return for how many more seconds a target is cold; 0 if it is not.

        Parameters
        ----------
        target : Target
            Its entry as it is in the target list now.
        """
        state = self._evaluate(target, now_s)
        return max(0.0, state.cold_until_s - now_s) if state is not None else 0.0

    def remaining_fraction(self, target: Target, now_s: float) -> float:
        """Return which part (0 to 1) of a target's cold time is left; 0 if it is not cold."""
        state = self._evaluate(target, now_s)
        if state is None or state.cold_until_s <= now_s:
            return 0.0
        return (state.cold_until_s - now_s) / (state.cold_until_s - state.cold_since_s)

    def has_cold(self, now_s: float) -> bool:
        """Return whether any target may be cold, by the entries that have been evaluated."""
        return self._last_end_s > now_s

    def note_request(self) -> None:
        """Record that requests are sent: a target that restarts from now on does so under load."""
        self._has_traffic = True

    def evaluate(self, targets: Mapping[str, Target], now_s: float) -> None:
        """Evaluate the target list; log the targets that are no longer cold."""
        if not self.is_enabled:
            return
        for target_id, state in list(self._states.items()):
            target = targets.get(target_id)
            if target is None:
                state.is_missing = True
                is_dropped = now_s - state.last_listed_s > UNLISTED_RETENTION_S
            else:
                is_dropped = self.spec(target) is None
            if is_dropped:
                del self._states[target_id]
            if state.is_cold_logged and (is_dropped or state.cold_until_s <= now_s):
                state.is_cold_logged = False
                log_event(_LOG, logging.INFO, "target_warm", target=target_id)
        for target in targets.values():
            found = self._evaluate(target, now_s)
            if found is not None:
                found.last_listed_s = now_s

    def count_among(self, target_ids: Iterable[str], now_s: float) -> int:
        """Return how many of the given targets are cold."""
        return sum(self.is_cold(target_id, now_s) for target_id in target_ids)

    def is_cold(self, target_id: str, now_s: float) -> bool:
        """Return whether a target is cold, by the entries that have been evaluated."""
        state = self._states.get(target_id)
        return state is not None and state.cold_until_s > now_s

    def halls(self) -> set[str]:
        """Return the halls of all targets that could be cold."""
        return {state.entry.hall for state in self._states.values()}

    def _evaluate(self, target: Target, now_s: float) -> _State | None:
        """Apply an entry and return what is known of its target; None if it is never cold."""
        state = self._states.get(target.target_id)
        if state is not None and state.entry is target and not state.is_missing:
            return state
        spec = self.spec(target)
        if spec is None:
            return None
        if state is None:
            state = _State(target, target.age_mark, 0.0, now_s, now_s, now_s)
            self._states[target.target_id] = state
            self._apply_report(state, target, now_s)
        else:
            self._apply_entry(state, target, spec, now_s)
        state.entry = target
        state.is_missing = False
        return state

    def _apply_entry(self, state: _State, target: Target, spec: ColdSpec, now_s: float) -> None:
        """Apply another entry of a known target, unless it is older than one already applied."""
        if not target.incarnation:
            # Entries without an age mark cannot be ordered, so none of them ends a known coldness.
            is_repeated = target.cold_for_s == state.reported_s and not state.is_missing
            if target.cold_for_s and not is_repeated:
                self._apply_report(state, target, now_s)
            return
        if target.age_mark <= state.age_mark:
            return
        if target.incarnation > state.age_mark[0] and not target.cold_for_s:
            self._apply_silent_restart(state, target, spec, now_s)
        else:
            self._apply_report(state, target, now_s)

    def _apply_silent_restart(
        self, state: _State, target: Target, spec: ColdSpec, now_s: float
    ) -> None:
        """Apply the first entry of a newer incarnation, which does not say that it is cold."""
        state.age_mark = target.age_mark
        state.reported_s = 0.0
        state.is_assumed = self._has_traffic
        if self._has_traffic:
            self._set_cold(state, now_s + spec.start_s, now_s)
        else:
            state.cold_until_s = now_s

    def _apply_report(self, state: _State, target: Target, now_s: float) -> None:
        """Apply what the newest entry of a target says."""
        state.age_mark = target.age_mark
        state.reported_s = target.cold_for_s
        if target.cold_for_s > 0:
            state.is_assumed = False
            self._set_cold(state, now_s + target.cold_for_s, now_s)
        elif not state.is_assumed:
            state.cold_until_s = min(state.cold_until_s, now_s)

    def _set_cold(self, state: _State, until_s: float, now_s: float) -> None:
        if state.cold_until_s <= now_s:
            state.cold_since_s = now_s
        state.cold_until_s = until_s
        self._last_end_s = max(self._last_end_s, until_s)
        if until_s > now_s and not state.is_cold_logged:
            state.is_cold_logged = True
            log_event(
                _LOG,
                logging.INFO,
                "target_cold",
                target=state.entry.target_id,
                for_s=round(until_s - now_s, 3),
            )
