"""Gossip between daemons: membership, digests, and replication of table and placement."""

from ._burn import BurnGatherer, Gathered
from ._digest import Needs, apply_digest, build_digest
from ._exchange import ExchangeClient, ExchangeServer, PeerSecurity
from ._gossip import Gossip
from ._members import DaemonInfo, MemberStatus, MemberTable, Responsibilities, rendezvous_rank
from ._state import (
    Contact,
    ControllerNews,
    DemandNews,
    HallSummary,
    ModelLoad,
    SharedState,
)

__all__ = [
    "BurnGatherer",
    "Contact",
    "ControllerNews",
    "DaemonInfo",
    "DemandNews",
    "ExchangeClient",
    "ExchangeServer",
    "Gathered",
    "Gossip",
    "HallSummary",
    "MemberStatus",
    "MemberTable",
    "ModelLoad",
    "Needs",
    "PeerSecurity",
    "Responsibilities",
    "SharedState",
    "apply_digest",
    "build_digest",
    "rendezvous_rank",
]
