"""Which replica takes a request: candidates, what is remembered of them, and the policies."""

from ._book import Flight, RouteBook
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

__all__ = [
    "Candidate",
    "Flight",
    "LeastOutstanding",
    "PrefixAffinity",
    "RoundRobin",
    "RouteBook",
    "RouteRequest",
    "RoutingPolicy",
    "make_routing_policy",
    "register_routing_policy",
    "routing_policies",
]
