"""Routing policies: which of several replicas with free slots gets a model request.

Policies have no state between requests except their random source and, for round robin, the index
of the last choice. `benchmarks.routing` compares them.
"""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from ._candidate import Candidate, RouteRequest

__all__ = [
    "LeastOutstanding",
    "PrefixAffinity",
    "RoundRobin",
    "RoutingPolicy",
    "make_routing_policy",
    "register_routing_policy",
    "routing_policies",
]


# Round robin starts at a random one of this many indices, so that daemons that start together do
# not all send to the same replica.
FIRST_INDEX_COUNT = 1 << 16


class RoutingPolicy(Protocol):
    """Chooses a replica. The first argument of each policy's constructor is its random source."""

    def choose(self, candidates: Sequence[Candidate], request: RouteRequest) -> Candidate | None:
        """Return the candidate that gets the request, or None if there are no candidates."""


_POLICIES: dict[str, type] = {}


def register_routing_policy(name: str) -> Callable[[type], type]:
    """Return a decorator that registers a `RoutingPolicy` class under `name`."""

    def _register(cls: type) -> type:
        if name in _POLICIES:
            raise AssertionError(f"routing policy {name!r} is registered twice")
        _POLICIES[name] = cls
        return cls

    return _register


def routing_policies() -> tuple[str, ...]:
    """Return the names of the registered policies, sorted."""
    return tuple(sorted(_POLICIES))


def make_routing_policy(name: str, random_source: random.Random, **parameters) -> RoutingPolicy:
    """Return a new instance of the policy `name`."""
    return _POLICIES[name](random_source, **parameters)


@register_routing_policy("round_robin")
class RoundRobin:
    """Chooses the replicas one after the other."""

    __slots__ = ("_index", "random_source")

    def __init__(self, random_source: random.Random):
        self.random_source = random_source
        self._index = random_source.randrange(FIRST_INDEX_COUNT)

    def choose(self, candidates: Sequence[Candidate], request: RouteRequest) -> Candidate | None:
        """Return the candidate after the last one chosen."""
        if not candidates:
            return None
        self._index += 1
        return candidates[self._index % len(candidates)]


@register_routing_policy("least_outstanding")
class LeastOutstanding:
    """Chooses the replica with the fewest requests of this daemon; breaks ties at random."""

    __slots__ = ("random_source",)

    def __init__(self, random_source: random.Random):
        self.random_source = random_source

    def choose(self, candidates: Sequence[Candidate], request: RouteRequest) -> Candidate | None:
        """Return the candidate with the fewest requests of this daemon."""
        if not candidates:
            return None
        least = min(c.own_in_flight for c in candidates)
        return self.random_source.choice([c for c in candidates if c.own_in_flight == least])


@register_routing_policy("prefix_affinity")
class PrefixAffinity:
    """Chooses the replica with the smallest expected time to the first token.

    A replica whose cache holds the prompt's prefix has an advantage, unless it is overloaded.

    Parameters
    ----------
    random_source : random.Random
        Breaks ties.
    step_s : float, default=0.02
        Time of one batch step of an engine. A request at a full replica waits for several steps.
    block_s : float, default=0.0025
        Time to process one prompt block that is not cached.
    service_steps : float, default=150.0
        Steps for which a request usually occupies its slot.
    load_factor : float, default=1.25
        The cache of a replica whose load exceeds the mean load times this factor, plus one request,
        is not taken into account.
    slow_factor : float, default=4.0
        For a replica whose time to the first token exceeds the median times this factor, the excess
        over the median is added to the expected time.
    use_load, use_cache, use_latency : bool, default=True
        Whether the reported load, the cached blocks and the measured latency are used.

    Notes
    -----
    The load is `Candidate.balanced_load`. The reported load alone is late and the same for all
    daemons, so all would choose the same replica.
    """

    __slots__ = (
        "block_s",
        "load_factor",
        "random_source",
        "service_steps",
        "slow_factor",
        "step_s",
        "use_cache",
        "use_latency",
        "use_load",
    )

    def __init__(
        self,
        random_source: random.Random,
        step_s: float = 0.02,
        block_s: float = 0.0025,
        service_steps: float = 150.0,
        load_factor: float = 1.25,
        slow_factor: float = 4.0,
        use_load: bool = True,
        use_cache: bool = True,
        use_latency: bool = True,
    ):
        self.random_source = random_source
        self.step_s = step_s
        self.block_s = block_s
        self.service_steps = service_steps
        self.load_factor = load_factor
        self.slow_factor = slow_factor
        self.use_load = use_load
        self.use_cache = use_cache
        self.use_latency = use_latency

    def choose(self, candidates: Sequence[Candidate], request: RouteRequest) -> Candidate | None:
        """Return the candidate with the smallest expected time to the first token."""
        if not candidates:
            return None
        if len(candidates) == 1:
            return candidates[0]
        mean_load = sum(self._load(c) for c in candidates) / len(candidates)
        usual_s = self._usual_first_token_s(candidates)
        best, best_key = None, None
        for candidate in candidates:
            cost_s = self._cost_s(candidate, request, mean_load, usual_s)
            sort_key = (cost_s, self.random_source.random())
            if best_key is None or sort_key < best_key:
                best, best_key = candidate, sort_key
        return best

    def _load(self, candidate: Candidate) -> float:
        return candidate.balanced_load if self.use_load else candidate.own_in_flight

    def _usual_first_token_s(self, candidates: Sequence[Candidate]) -> float:
        known_s = sorted(c.first_token_s for c in candidates if c.first_token_s > 0)
        return known_s[len(known_s) // 2] if known_s else 0.0

    def _cost_s(
        self, candidate: Candidate, request: RouteRequest, mean_load: float, usual_s: float
    ) -> float:
        """Return the expected time to the first token."""
        load = self._load(candidate)
        slots = candidate.replica.slots
        excess_requests = max(0.0, load + 1 - slots)
        wait_s = excess_requests * self.service_steps * self.step_s / slots
        crowding_s = self.step_s * load / slots
        cached = candidate.cached_blocks if self.use_cache else 0
        if load > self.load_factor * mean_load + 1:
            cached = 0
        prefill_s = (len(request.blocks) - cached) * self.block_s
        cost_s = wait_s + crowding_s + prefill_s
        has_usual_latency = self.use_latency and usual_s > 0
        if has_usual_latency and candidate.first_token_s > self.slow_factor * usual_s:
            cost_s += candidate.first_token_s - usual_s
        return cost_s
