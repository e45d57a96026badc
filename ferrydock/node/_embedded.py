"""Embedded mode: the store and stand-in targets run in the daemon's own process."""

import random

from ..clock import Clock
from ..demo_keys import DEMO_OPERATOR_KEY, DEMO_TEAM_KEY
from ..outcomes import Invalid
from ..standins import EngineProfile, SiteSize, StandInSite
from ..store import StaticWeightStore
from ..table import (
    AcceptedEdit,
    Change,
    Edit,
    RowKey,
    TableRepository,
    digest_key,
)
from ._node import PlatformClients

__all__ = ["demo_changes", "embedded_platform", "write_demo_table"]

WEIGHT_BYTES = 400_000_000


def demo_changes(
    halls: tuple[str, ...], service_url: str, team_key: str, operator_key: str
) -> tuple[Change, ...]:
    """Return the changes that fill the table of a demonstration site.

    Parameters
    ----------
    halls : tuple of str
        Halls of the site.
    service_url : str
        Address of the plain service.
    team_key, operator_key : str
        Keys whose digests are written to the table.
    """
    cells: dict[tuple[str, str], dict[str, str]] = {
        ("site", "site"): {
            "operator_key_digests": digest_key(operator_key),
            "member_wait_s": "1",
            "lease_ttl_s": "3",
        },
        ("models", "draft-large"): {
            "boxes_per_replica": "4",
            "weight_bytes": str(WEIGHT_BYTES),
            "replicas_per_hall": "1",
            "priority": "6",
        },
        ("models", "tutor-large"): {
            "boxes_per_replica": "4",
            "weight_bytes": str(WEIGHT_BYTES),
            "replicas_per_hall": "1",
        },
        ("teams", "demo"): {"key_digests": digest_key(team_key)},
        ("shares", "demo-draft"): {"team": "demo", "model": "draft-large"},
        ("shares", "demo-tutor"): {"team": "demo", "model": "tutor-large"},
        ("targets", "records"): {"kind": "plain_service", "urls": service_url},
    }
    for hall in halls:
        cells[("halls", hall)] = {"region": "demo"}
    changes = []
    for (sheet, row), texts in cells.items():
        key = RowKey(sheet, row)
        changes.append(Change(key, None, ""))
        changes += [Change(key, column, text) for column, text in texts.items()]
    return tuple(changes)


async def write_demo_table(
    repository: TableRepository,
    halls: tuple[str, ...],
    service_url: str,
    clock: Clock,
    team_key: str = DEMO_TEAM_KEY,
    operator_key: str = DEMO_OPERATOR_KEY,
) -> AcceptedEdit:
    """Write the table of a demonstration site into an empty store."""
    changes = demo_changes(halls, service_url, team_key, operator_key)
    edit = Edit("demotable0", 0, changes, "embedded")
    outcome = await repository.commit(edit, clock.now_s() + 10)
    if not isinstance(outcome, AcceptedEdit):
        reason = outcome.reason if isinstance(outcome, Invalid) else str(outcome)
        raise AssertionError(f"the demonstration table was refused: {reason}")
    return outcome


class _EmbeddedBoxList:
    """Box list of the stand-ins in this process."""

    __slots__ = ("site",)

    def __init__(self, site: StandInSite):
        self.site = site

    async def fetch(self, hall: str):
        return self.site.boxes(hall)

    async def close(self) -> None:
        return None


class _EmbeddedPlatform(PlatformClients):
    """Store and stand-ins that are closed with the daemon."""

    __slots__ = ("site",)

    def __init__(self, site: StandInSite):
        weight_store = StaticWeightStore(site.size.weight_rate_bytes_per_s)
        super().__init__(site.store, _EmbeddedBoxList(site), weight_store)
        self.site = site

    async def close(self) -> None:
        await super().close()
        await self.site.close()


async def embedded_platform(hall: str, clock: Clock, seed: int) -> _EmbeddedPlatform:
    """Start stand-ins with 15 boxes in 3 fabric domains, and write the demonstration table."""
    size = SiteSize(halls=(hall,), domains_per_hall=3, boxes_per_domain=5)
    site = await StandInSite(size, EngineProfile(), clock, random.Random(seed)).start()
    repository = TableRepository(site.store, clock, random.Random(seed))
    await write_demo_table(repository, (hall,), f"{site.url}/service", clock)
    return _EmbeddedPlatform(site)
