"""The input of a routing policy: the replicas that a request may be sent to, and the request.

Data only. Both classes are instantiated for each request, so they are not frozen: that would double
the time of instantiation.
"""

from dataclasses import dataclass

from ..placement import Replica

__all__ = ["Candidate", "RouteRequest"]

# Weight of the reported load in `Candidate.balanced_load`. The remaining weight is that of this
# daemon's own estimate.
REPORT_WEIGHT = 0.5


@dataclass(eq=False, slots=True)
class Candidate:
    """A replica that the request may be sent to.

    Attributes
    ----------
    replica : Replica
        An attested replica of the model.
    reported_load : int
        Running and waiting requests in the last report of the replica's head.
    sent_since_report : int
        Requests that this daemon has sent to the replica since that report and that are in flight.
    own_in_flight : int
        Requests of this daemon that are in flight at the replica.
    cached_blocks : int
        Leading blocks of the prompt that are probably in the replica's prefix cache.
    first_token_s : float
        The replica's average time to the first token, as measured by this daemon; 0 if unknown.
    daemons : int
        How many daemons send requests to the same replicas.
    own_at_report : int
        Requests of this daemon that were in flight at the replica when its load was reported.
    """

    replica: Replica
    reported_load: int
    sent_since_report: int
    own_in_flight: int
    cached_blocks: int = 0
    first_token_s: float = 0.0
    daemons: int = 1
    own_at_report: int = 0

    @property
    def balanced_load(self) -> float:
        """Estimated requests at the replica, from the last report and this daemon's own requests.

        The report is late and the same for all daemons, so by itself it would make all daemons
        choose the same replica. A daemon's own requests are known at once and differ between
        daemons; multiplied by the number of daemons they are a second estimate. The weighted mean
        of both follows the actual load, and the daemons choose different replicas.
        """
        reported = self.reported_load + self.sent_since_report
        own_estimate = self.daemons * self.own_in_flight
        return REPORT_WEIGHT * reported + (1 - REPORT_WEIGHT) * own_estimate

    @property
    def load(self) -> int:
        """Estimated requests at the replica: this daemon's own, and the others in the report.

        This daemon's own requests are known at once. Those that the report contains are left out of
        it: they may have ended since, and their slots would stay unused until the next report.
        """
        others = max(0, self.reported_load - self.own_at_report)
        return others + self.own_in_flight


@dataclass(eq=False, slots=True)
class RouteRequest:
    """The properties of a request that a policy may use.

    Attributes
    ----------
    model : str
        The requested model.
    blocks : tuple of int
        Chained hashes of the prompt's blocks.
    priority : int
        0 (lowest) to 9 (highest).
    """

    model: str
    blocks: tuple[int, ...] = ()
    priority: int = 5
