"""Rule: how a planned stop ends callers' requests and connections; owns nothing."""

import asyncio
import logging

from ..clock import Clock
from ..forwarding import RouteGateway
from ..logs import log_event

__all__ = ["finish_requests"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# How long the listener stays open after readiness has dropped. The balancer checks every second and
# takes a daemon out after two misses; this is one check more, and a little.
LISTEN_AFTER_READY_S = 3.2

# How long before the process would be killed requests are cut off, so that closing what is left
# still fits. Chosen, not measured.
KILL_MARGIN_S = 0.8

# Pause between two looks whether requests are left. Chosen, not measured.
LOOK_S = 0.05


async def finish_requests(gateway: RouteGateway, stop_within_s: float, clock: Clock) -> None:
    """Let the balancer take this daemon out, then wait for the requests in flight.

    From the beginning each answer ends its connection, so that callers go elsewhere for the next.

    Parameters
    ----------
    stop_within_s : float
        Seconds from now until the process would be killed.
    """
    last_s = clock.now_s() + stop_within_s - KILL_MARGIN_S
    gateway.stopping = True
    _log(gateway, "stopping")
    left_s = max(0.0, last_s - clock.now_s())
    await asyncio.sleep(min(LISTEN_AFTER_READY_S, left_s))
    _log(gateway, "listening_ends")
    gateway.stop_listening()
    while gateway.in_flight and clock.now_s() < last_s:
        await asyncio.sleep(LOOK_S)
    _log(gateway, "stopped")


def _log(gateway: RouteGateway, event: str) -> None:
    log_event(
        _LOG,
        logging.INFO,
        event,
        in_flight=gateway.in_flight,
        connections=gateway.connection_count,
    )
