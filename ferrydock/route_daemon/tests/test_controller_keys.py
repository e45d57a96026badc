"""Values of a hall's controller key that are not what this version writes."""

import pytest

from ...hall_lease import ControllerLease, controller_key, decode_controller
from ...outcomes import Conflict
from ...standins.fleet import LoopClock, run_virtually
from ...store import MemoryStore, Put, Txn

UNREADABLE = [b"", b"\xff", b"[]", b'{"holder":["a"]}', b'{"address":7}', b'{"x":' + b"[" * 50_000]


@pytest.mark.parametrize("value", UNREADABLE)
def test_a_key_whose_value_cannot_be_decoded_keeps_the_hall_and_ends_nothing(value):
    """Failure: such a value raised in the loop that leads the hall, which ends the process."""
    found = decode_controller(value)
    assert found.address == "" and found.processor_cores is None

    async def scenario():
        clock = LoopClock()
        store = MemoryStore(clock)
        await store.transact(Txn((), (Put(controller_key("hall-a"), value),)))
        lease = ControllerLease(store, clock, "hall-a", "daemon")
        assert isinstance(await lease.acquire(2.0), Conflict)

    run_virtually(scenario())


def test_a_key_of_this_or_an_older_version_is_decoded():
    value = b'{"holder":"edge-1","nonce":"n","address":"10.0.0.1:80","processor_cores":2}'
    found = decode_controller(value)
    assert (found.address, found.processor_cores) == ("10.0.0.1:80", 2.0)
    without_address, empty = decode_controller(b'{"holder":"x"}'), decode_controller(b"{}")
    assert (without_address.address, empty.processor_cores) == ("", None)
