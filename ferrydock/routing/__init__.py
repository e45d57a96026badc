"""Which replica gets a model request, in the table's daemon.

The rule is a registered policy (`_policies`). It chooses among `Candidate` objects, made from the
state that this daemon keeps of each replica (`_replica_loads`). The route daemon has another rule,
`scheduling.least_loaded`: it uses the exact counts of a hall, while the policies here use load
reports that are a second old, prefix caches and latencies. What does not belong here: whether a
replica may get requests at all (`ferrydock.hall`), queues (`ferrydock.requests`).
"""

from ._candidate import Candidate, RouteRequest
from ._policies import (
    LeastOutstanding,
    PrefixAffinity,
    RoundRobin,
    RoutingPolicy,
    make_routing_policy,
    register_routing_policy,
    routing_policies,
)
from ._replica_loads import InFlightRequest, ReplicaLoads

__all__ = [
    "Candidate",
    "InFlightRequest",
    "LeastOutstanding",
    "PrefixAffinity",
    "RoundRobin",
    "ReplicaLoads",
    "RouteRequest",
    "RoutingPolicy",
    "make_routing_policy",
    "register_routing_policy",
    "routing_policies",
]
