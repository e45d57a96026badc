"""Which replica takes a request: candidates, what is remembered of them, and the policies."""

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
from ._replica_loads import Flight, ReplicaLoads

__all__ = [
    "Candidate",
    "Flight",
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
