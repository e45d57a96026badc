"""Placement records of another writer."""

import orjson
import pytest

from ...hall_lease import placement_key
from ...standins.fleet import LoopClock, run_virtually
from ...store import MemoryStore
from .._record import PlacementRecord

ODD_SLOTS = (-5, "nan", "inf", 1e300, True, None, [], {}, "x")


async def demand_read(value):
    """Return the demand that a leader reads from a record."""
    store = MemoryStore(LoopClock())
    store.put(placement_key("hall-a"), value)
    record = PlacementRecord(store, "hall-a", "daemon-1")
    assert await record.read()
    return record.demand


@pytest.mark.parametrize("slots", ODD_SLOTS, ids=str)
def test_a_recorded_demand_that_is_no_number_of_slots_counts_as_none(slots):
    """Failure: a negative demand raised in each round of every leader that read it."""
    value = orjson.dumps({"demand": {"engines": {"large": slots}}})
    assert run_virtually(demand_read(value)) == {}


@pytest.mark.parametrize("value", [b"", b"[]", b"7", b'{"demand":3}', b"[" * 100_000])
def test_a_record_of_another_shape_has_no_demand(value):
    assert run_virtually(demand_read(value)) == {}


def test_a_recorded_demand_is_read():
    value = orjson.dumps({"demand": {"engines": {"large": 3.5, "small": 0}}})
    assert run_virtually(demand_read(value)) == {"engines": {"large": 3.5, "small": 0.0}}
