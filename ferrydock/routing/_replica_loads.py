"""The state that a daemon keeps of each replica: its own requests in flight, latency, cache.

Owns this state, in memory. Relies on attestations for which replicas may get requests.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import takewhile

from ..engines import CacheEvents
from ..hall import Attestations
from ..placement import HallPlacement, Replica, ReplicaPhase
from ..table import TableView
from ._candidate import Candidate

__all__ = ["InFlightRequest", "ReplicaLoads"]


# Weight of the newest time to the first token in the moving average.
LATENCY_WEIGHT = 0.2

# How long the moving average is valid after its last measurement, and how many measurements it must
# contain before it is used.
LATENCY_EXPIRY_S = 30.0
MIN_MEASUREMENTS = 6

# How many blocks of each replica's cache are recorded. Bounds the memory use of a daemon.
MAX_KNOWN_BLOCKS = 8192

# How much older a reported load may be than its attestation. The requests that this daemon has sent
# since then are added to the load. `benchmarks.routing` assumes the same lag.
LOAD_REPORT_LAG_S = 1.0

# Ended requests kept for each replica: more than end between two reports of its load.
MAX_ENDED_REQUESTS = 512


@dataclass(eq=False, slots=True)
class InFlightRequest:
    """A request of this daemon in flight at a replica; `sent_s` is in local time."""

    replica_id: str
    sent_s: float


@dataclass(slots=True)
class _ReplicaState:
    """State of one replica.

    Attributes
    ----------
    in_flight : set of InFlightRequest
        Requests of this daemon in flight at the replica.
    ended : deque of (float, float)
        Local times at which the requests that ended since the last report were sent and ended.
    first_token_s : float
        Moving average of the time to the first token; 0 before the first measurement.
    last_measured_s : float
        Local time of the last measurement.
    measurements : int
        How many measurements the average contains.
    last_sent_s : float
        Local time at which this daemon last sent a request to the replica.
    blocks : OrderedDict
        Hashes of the blocks that are probably cached, least recently used first.
    incarnation : str
        Incarnation of the cache that the last events came from.
    sequence : int
        Sequence number of the last applied cache event.
    gaps : int
        How often cache events were missing between two that arrived.
    """

    in_flight: set[InFlightRequest] = field(default_factory=set)
    ended: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_ENDED_REQUESTS)
    )
    first_token_s: float = 0.0
    last_measured_s: float = 0.0
    measurements: int = 0
    last_sent_s: float = float("-inf")
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    incarnation: str = ""
    sequence: int = 0
    gaps: int = 0


class ReplicaLoads:
    """Keeps the state of replicas that routing needs in addition to the placement record.

    Parameters
    ----------
    attestations : Attestations
        Attestations of replicas; only attested ones get requests.
    """

    __slots__ = ("_states", "_placement", "_serving", "_view", "attestations")

    def __init__(self, attestations: Attestations):
        self.attestations = attestations
        self._states: dict[str, _ReplicaState] = {}
        self._placement: HallPlacement | None = None
        self._view: TableView | None = None
        self._serving: dict[str, list[Replica]] = {}

    def serving(
        self, placement: HallPlacement, view: TableView, model: str, now_s: float
    ) -> list[Replica]:
        """Return the replicas of `model` that may get requests.

        These are in phase SERVING, attested at `now_s`, and without a box that is leaving.
        """
        if placement is not self._placement or view is not self._view:
            self._cache_serving(placement, view)
        attested = self.attestations.is_complete
        return [r for r in self._serving.get(model, ()) if attested(r, now_s)]

    def _cache_serving(self, placement: HallPlacement, view: TableView) -> None:
        """Cache, for one placement and one table, the replicas that get requests if attested."""
        self._placement, self._view = placement, view
        self._serving = {}
        for replica in placement.replicas.values():
            has_leaving_box = any(view.box_leaving(box) for box in replica.boxes)
            if replica.phase is ReplicaPhase.SERVING and not has_leaving_box:
                self._serving.setdefault(replica.model, []).append(replica)

    def candidates(
        self,
        replicas: Iterable[Replica],
        blocks: tuple[int, ...],
        now_s: float,
        daemons: int = 1,
    ) -> list[Candidate]:
        """Return a candidate for each of `replicas`, for a prompt with these blocks.

        Parameters
        ----------
        replicas : iterable of Replica
            Replicas that may get requests.
        blocks : tuple of int
            Chained hashes of the prompt's blocks.
        now_s : float
            Local time.
        daemons : int, default=1
            How many daemons send requests to the same replicas.
        """
        return [self._candidate(replica, blocks, now_s, daemons) for replica in replicas]

    def _candidate(
        self, replica: Replica, blocks: tuple[int, ...], now_s: float, daemons: int
    ) -> Candidate:
        state = self._state(replica.replica_id)
        attestation = self.attestations.get(replica.replica_id)
        reported = attestation.running + attestation.waiting if attestation is not None else 0
        load_observed_s = (
            attestation.probed_s - LOAD_REPORT_LAG_S if attestation is not None else 0.0
        )
        sent_since_report = sum(1 for flight in state.in_flight if flight.sent_s > load_observed_s)
        latency_s = state.first_token_s
        is_expired = now_s - state.last_measured_s > LATENCY_EXPIRY_S
        if is_expired or state.measurements < MIN_MEASUREMENTS:
            latency_s = 0.0
        cached = sum(1 for _ in takewhile(state.blocks.__contains__, blocks))
        own_in_flight = len(state.in_flight)
        own_at_report = self._own_at(state, attestation.probed_s) if attestation is not None else 0
        return Candidate(
            replica,
            reported,
            sent_since_report,
            own_in_flight,
            cached,
            latency_s,
            daemons,
            own_at_report,
        )

    @staticmethod
    def _own_at(state: _ReplicaState, at_s: float) -> int:
        """Return how many requests of this daemon were in flight at the time of a report.

        Removes those that ended before it, which no later report contains either.
        """
        while state.ended and state.ended[0][1] <= at_s:
            state.ended.popleft()
        running = sum(1 for flight in state.in_flight if flight.sent_s <= at_s)
        return running + sum(1 for sent_s, _ in state.ended if sent_s <= at_s)

    def _state(self, replica_id: str) -> _ReplicaState:
        state = self._states.get(replica_id)
        if state is None:
            state = self._states[replica_id] = _ReplicaState()
        return state

    def keep_only(self, placement: HallPlacement) -> None:
        """Remove replicas that are not in the placement and have no request of this daemon."""
        for replica_id, state in list(self._states.items()):
            if replica_id not in placement.replicas and not state.in_flight:
                del self._states[replica_id]

    # Events of requests -------------------------------------------------------------------

    def note_sent(self, replica: Replica, blocks: tuple[int, ...], now_s: float) -> InFlightRequest:
        """Record that a request is sent to a replica, which will cache the prompt's blocks."""
        state = self._state(replica.replica_id)
        flight = InFlightRequest(replica.replica_id, now_s)
        state.in_flight.add(flight)
        state.last_sent_s = now_s
        self._add_blocks(state, blocks)
        return flight

    def note_first_token(self, flight: InFlightRequest, now_s: float) -> None:
        """Record that a request got its first token, and update the average latency."""
        state = self._state(flight.replica_id)
        took_s = now_s - flight.sent_s
        is_recent = now_s - state.last_measured_s <= LATENCY_EXPIRY_S and state.first_token_s > 0
        weight = LATENCY_WEIGHT if is_recent else 1.0
        state.first_token_s += weight * (took_s - state.first_token_s)
        state.last_measured_s = now_s
        state.measurements = state.measurements + 1 if is_recent else 1

    def note_ended(self, flight: InFlightRequest, now_s: float) -> None:
        """Record that a request has ended."""
        state = self._state(flight.replica_id)
        state.in_flight.discard(flight)
        state.ended.append((flight.sent_s, now_s))

    def own_in_flight(self, replica_id: str) -> int:
        """Return how many requests of this daemon are in flight at a replica."""
        return len(self._state(replica_id).in_flight)

    def used_since(self, replica_id: str, since_s: float) -> bool:
        """Return whether this daemon has sent the replica a request since local time `since_s`."""
        return self._state(replica_id).last_sent_s >= since_s

    def _add_blocks(self, state: _ReplicaState, blocks: tuple[int, ...]) -> None:
        for block in blocks:
            state.blocks[block] = None
            state.blocks.move_to_end(block)
        while len(state.blocks) > MAX_KNOWN_BLOCKS:
            state.blocks.popitem(last=False)

    # Cache events -------------------------------------------------------------------------

    def last_sequence(self, replica_id: str) -> int:
        """Return the sequence number of the last cache event applied for a replica."""
        return self._state(replica_id).sequence

    def apply_events(self, replica_id: str, update: CacheEvents) -> None:
        """Apply cache events of a replica.

        Missing events make the recorded blocks outdated, which is harmless: a block that the
        replica has evicted meanwhile only costs a cache miss. Beyond `MAX_KNOWN_BLOCKS` the least
        recently used blocks are removed first.
        """
        state = self._state(replica_id)
        if update.incarnation != state.incarnation:
            state.incarnation = update.incarnation
            state.sequence = 0
            state.blocks.clear()
        for event in update.events:
            if event.sequence <= state.sequence:
                continue
            if event.sequence != state.sequence + 1:
                state.gaps += 1
            state.sequence = event.sequence
            if event.stored:
                self._add_blocks(state, event.blocks)
            else:
                for block in event.blocks:
                    state.blocks.pop(block, None)
