"""Gossip between daemons: membership, digests, and replication of table and placement."""

from ._burn import BurnGatherer, CollectedCounts
from ._digest import NewerData, apply_digest, build_digest
from ._exchange import ExchangeClient, ExchangeServer, PeerSecurity
from ._gossip import Gossip
from ._members import DaemonInfo, MemberStatus, MemberTable, RendezvousCache, rendezvous_rank
from ._state import (
    Contact,
    ControllerUpdate,
    DemandUpdate,
    HallSummary,
    ModelLoad,
    SharedState,
)

__all__ = [
    "BurnGatherer",
    "Contact",
    "ControllerUpdate",
    "DaemonInfo",
    "DemandUpdate",
    "ExchangeClient",
    "ExchangeServer",
    "CollectedCounts",
    "Gossip",
    "HallSummary",
    "MemberStatus",
    "MemberTable",
    "ModelLoad",
    "NewerData",
    "PeerSecurity",
    "RendezvousCache",
    "SharedState",
    "apply_digest",
    "build_digest",
    "rendezvous_rank",
]
