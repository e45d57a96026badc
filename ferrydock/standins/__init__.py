"""Small in-process stand-ins of the systems around ferrydock, with fault injection."""

from ._engine import EngineProfile, StandInBox, StandInFleet
from ._etcd import StandInEtcd, StoreFaults
from ._link import Link
from ._local import FaultyStore, LocalBoxList, LocalControl
from ._plain import StandInService
from ._site import SiteSize, StandInSite
from ._weights import StandInWeightStore

__all__ = [
    "EngineProfile",
    "FaultyStore",
    "Link",
    "LocalBoxList",
    "LocalControl",
    "SiteSize",
    "StandInBox",
    "StandInEtcd",
    "StandInFleet",
    "StandInService",
    "StandInSite",
    "StandInWeightStore",
    "StoreFaults",
]
