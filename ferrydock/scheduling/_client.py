"""A daemon's client of the hall scheduler: requests slots and reports requests in flight.

Owns the connection to the scheduler, the fields that it accepts in requests, and the grants
received in the last 0.6 s. Relies on the hall leadership for the scheduler's address. If the
scheduler does not reply, the daemon chooses targets by itself (`forwarding.EndpointSelector`).
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace

from ..backpressure import RateLimits, is_grant_too_old
from ..clock import Clock
from ..logs import log_event
from ..relay import PeerCalls
from ._messages import SlotReply, SlotRequest, decode_reply, decode_report_reply, encode
from ._scheduler import HallScheduler
from ._server import PLACE

__all__ = ["SchedulerClient"]

_LOG = logging.getLogger("ferrydock.scheduling")

# How long a reply may take, beyond the time that the request may wait in the scheduler's queue.
# After a timeout this daemon chooses the target by its own counts alone, late by this much, and
# does the same for all its requests in the next `SKIP_AFTER_TIMEOUT_S`. Half of the shortest
# objective for the time to a first answer (0.3 s).
REPLY_TIMEOUT_S = 0.15

# How long no message is sent to a scheduler after it did not reply.
SKIP_AFTER_TIMEOUT_S = 0.5

# Requests that end within this time, and rate limits received in it, share one report.
REPORT_DELAY_S = 0.02

# How long each message to the scheduler confirms a received grant: longer than the scheduler counts
# an unconfirmed grant (`_in_flight.UNCONFIRMED_GRANT_S`). The scheduler would otherwise count the
# request both as a grant and as in flight.
REPEAT_GRANTS_S = 0.6


class SchedulerClient:
    """Sends this daemon's messages to the hall scheduler, which may run in the same process.

    Parameters
    ----------
    name : str
        Name of this daemon.
    scheduler : HallScheduler
        This daemon's own scheduler, called directly while this daemon leads the hall.
    address : callable
        Returns ``IP:PORT`` of the hall leader; an empty string if the leader is not known.
    own_address : str
        ``IP:PORT`` of this daemon.
    running : callable
        Returns this daemon's requests in flight, by target id.
    """

    __slots__ = (
        "_accepted_fields",
        "_accepted_fields_address",
        "_grants",
        "_report_task",
        "_last_timeout_s",
        "address",
        "calls",
        "clock",
        "name",
        "own_address",
        "running",
        "scheduler",
    )

    def __init__(
        self,
        name: str,
        scheduler: HallScheduler,
        address: Callable[[], str],
        own_address: str,
        running: Callable[[], Mapping[str, int]],
        clock: Clock,
    ):
        self.name = name
        self.scheduler = scheduler
        self.address = address
        self.own_address = own_address
        self.running = running
        self.clock = clock
        self.calls = PeerCalls()
        self._last_timeout_s = -SKIP_AFTER_TIMEOUT_S
        self._accepted_fields: frozenset[str] = frozenset()
        self._accepted_fields_address = ""
        self._grants: deque[tuple[float, int]] = deque()
        self._report_task: asyncio.Task | None = None

    async def request_slot(self, request: SlotRequest) -> SlotReply | None:
        """Return the scheduler's reply, or None if it cannot be reached or its grant is too old.

        Fills in the fields of `request` that describe this daemon: `sender`, `running`, `seen` and
        `limits`.
        """
        sent_s = self.clock.now_s()
        filled = replace(
            request,
            sender=self.name,
            running=self.running(),
            seen=self._recent_grants(),
            limits=self._limits.reports(sent_s),
        )
        address = self.address()
        if address == self.own_address:
            reply = await self.scheduler.acquire(filled)
        elif not address or self._is_scheduler_skipped():
            return None
        else:
            remote_reply = await self._call_scheduler(address, filled)
            if remote_reply is None:
                self._skip_scheduler(address)
                return None
            reply = remote_reply
            self._limits.merge(reply.limits, sent_s)
        if is_grant_too_old(reply.waited_s, self.clock.now_s() - sent_s):
            log_event(_LOG, logging.WARNING, "cold_grant_late", target=reply.target_id)
            return None
        if reply.target_id:
            self._grants.append((self.clock.now_s(), reply.grant))
        return reply

    async def _call_scheduler(self, address: str, request: SlotRequest) -> SlotReply | None:
        """Return the reply of the scheduler at `address`; None if there is none to be read."""
        timeout_s = request.hold_s + REPLY_TIMEOUT_S
        if request.team and not self._accepts_team(address):
            request = replace(request, team="")
        data = await self.calls.call(address, PLACE, encode(request), timeout_s)
        if data is None:
            return None
        try:
            return decode_reply(data)
        except (ValueError, TypeError, AttributeError) as error:
            why = repr(error)
            log_event(_LOG, logging.ERROR, "slot_unreadable", address=address, why=why)
            return None

    def _accepts_team(self, address: str) -> bool:
        """Return whether the scheduler at `address` has stated that it accepts a team.

        A scheduler states that in its reply to a report, so one is sent first to each new one.
        """
        if address != self._accepted_fields_address:
            self._accepted_fields, self._accepted_fields_address = frozenset(), address
            self.schedule_report()
        return "team" in self._accepted_fields

    def _note_accepted_fields(self, address: str, data: bytes) -> None:
        """Record the fields that a scheduler accepts, from its reply to a report."""
        try:
            self._accepted_fields = decode_report_reply(data)
        except (ValueError, TypeError, KeyError) as error:
            self._accepted_fields = frozenset()
            why = repr(error)
            log_event(_LOG, logging.ERROR, "report_reply_unreadable", address=address, why=why)
        self._accepted_fields_address = address

    def _recent_grants(self) -> tuple[int, ...]:
        """Return the numbers of the grants received in the last `REPEAT_GRANTS_S`."""
        now_s = self.clock.now_s()
        while self._grants and now_s - self._grants[0][0] > REPEAT_GRANTS_S:
            self._grants.popleft()
        return tuple(number for _, number in self._grants)

    def _is_scheduler_skipped(self) -> bool:
        return self.clock.now_s() - self._last_timeout_s < SKIP_AFTER_TIMEOUT_S

    def _skip_scheduler(self, address: str) -> None:
        self._last_timeout_s = self.clock.now_s()
        # The daemon there may have been replaced by one of an older version.
        self._accepted_fields_address = ""
        log_event(_LOG, logging.WARNING, "dispatcher_lost", address=address)

    @property
    def _limits(self) -> RateLimits:
        return self.scheduler.catalog.limits

    def schedule_report(self) -> None:
        """Report requests in flight and limits within `REPORT_DELAY_S`, unless a report is due."""
        if self._report_task is None or self._report_task.done():
            self._report_task = asyncio.get_running_loop().create_task(self._send_report())

    async def _send_report(self) -> None:
        await asyncio.sleep(REPORT_DELAY_S)
        report = SlotRequest(
            self.name,
            self.running(),
            self._recent_grants(),
            limits=self._limits.reports(self.clock.now_s()),
        )
        address = self.address()
        if address == self.own_address:
            self.scheduler.receive_counts(report)
        elif address and not self._is_scheduler_skipped():
            data = await self.calls.call(address, PLACE, encode(report), REPLY_TIMEOUT_S)
            if data is None:
                self._skip_scheduler(address)
            else:
                self._note_accepted_fields(address, data)

    async def close(self) -> None:
        """Cancel a report that is due and close the connection."""
        if self._report_task is not None:
            self._report_task.cancel()
        await self.calls.close()
