"""Orders whose sender's lease ends between the check of the lease and the connection."""

import asyncio
from types import SimpleNamespace

from ...clock import SystemClock
from ...links import TargetDialer
from ...outcomes import Unavailable
from ...replicas import OrderSender
from ...standins.fleet import FleetSite
from ...targets import JoinOrder, TargetDirectory
from .._control import PlatformTargetControl

WITHIN_S = 0.5


class SlowDialer(TargetDialer):
    """Connects to a target only when `may_connect` is set."""

    def __init__(self):
        super().__init__()
        self.is_connecting = asyncio.Event()
        self.may_connect = asyncio.Event()

    async def connect(self, address, timeout_s, request_id=""):
        self.is_connecting.set()
        await self.may_connect.wait()
        return await super().connect(address, timeout_s, request_id)


async def send_while_the_lease_ends():
    """Return the outcome of an order to join and the orders that the target has received."""
    site = FleetSite(("hall-a",), domain_size=1)
    await site.start()
    control = PlatformTargetControl()
    control.dialer = dialer = SlowDialer()
    lease = SimpleNamespace(held=SimpleNamespace(term=1), is_valid=True)
    sender = OrderSender(control, TargetDirectory(), SystemClock(), lease)
    target = next(iter(site.fleet.workers.values())).entry
    order = JoinOrder("g", 1, "small", (target.target_id,))
    try:
        sending = asyncio.ensure_future(sender.send(target, order, WITHIN_S))
        await dialer.is_connecting.wait()
        lease.is_valid = False
        dialer.may_connect.set()
        return await sending, site.record.orders
    finally:
        await control.close()
        await site.close()


def test_no_order_is_written_to_a_connection_that_is_made_after_the_lease_has_ended():
    """Failure: a process stood still while it connected, and sent the order when it went on."""
    outcome, received = asyncio.run(send_while_the_lease_ends())
    assert received == []
    assert isinstance(outcome, Unavailable)
