"""Polls the hall leader for the state that a leader reads from the store.

Owns the connection to the leader, and which change of the leader's target list was received last.
Updates the current configuration, the target directory, the broken replicas and the daemon counter.
"""

import asyncio
import logging
from collections.abc import Callable

from ..clock import Clock
from ..configuration import Configuration, ConfigurationUnreadable, CurrentConfiguration
from ..crashes import CrashExchange, CrashHistory
from ..evacuation import EvacuatedHalls
from ..freshness import LEADER_MAX_AGE_S
from ..logs import log_event
from ..targets import ListSource, TargetChanges, TargetDirectory
from ._broken_replicas import BrokenReplicas
from ._daemon_counter import DaemonCounter
from ._messages import UpdateReply, UpdateRequest, decode_reply, encode, encode_known_position
from ._peers import NEWS_METHOD, PeerCalls
from ._server import ACCEPTS_EVACUATED, ACCEPTS_LEAVING

__all__ = ["RelayClient"]

_LOG = logging.getLogger("ferrydock.relay")

# Time-out of a call to the leader, which delays its reply by up to 0.3 s while nothing changes.
# Meanwhile the known data grows older; `freshness.ChangeBudget` says what follows from its age.
REPLY_TIMEOUT_S = 0.6

# Pause after a reply with a configuration if the previous configuration came within
# `FREQUENT_CONFIGURATION_S`. When the configuration changes every 0.1 s, each version is 35 to
# 150 KB for every follower: 12 per second of 150 KB to 23 followers are 330 Mbit/s, on links of 10
# to 100 Mbit/s, and applying one of 914 routes takes 11 ms of a core. The pause adds to the age of
# the target list, which the daemon confirms itself if it grows too old (`freshness.Confirmer`).
CONFIGURATION_PAUSE_S = 0.15
FREQUENT_CONFIGURATION_S = 1.0


class RelayClient:
    """Polls the hall leader and applies its replies.

    Parameters
    ----------
    current, directory : CurrentConfiguration, TargetDirectory
        Updated with the replies.
    decode : callable
        Decodes a configuration from its stored form.
    broken : BrokenReplicas, optional
        Source of the reports to the leader; receives the leader's reports.
    daemon_counter : DaemonCounter, optional
        Receives the number of daemons in the hall.
    name : str, default=""
        Name of this daemon, by which the leader counts its followers.
    crashes : CrashExchange, optional
        Exchanges with the leader which requests crash their targets.
    raise_era : callable, optional
        Called with the era of the store in each reply.
    is_settled : callable, optional
        Returns whether the store's era has settled. Until then reading the store confirms nothing
        either, so a reply of a leader that reads the store is sufficient whatever its age.
    evacuated : EvacuatedHalls, optional
        Updated with the replies; by default the deployment has no evacuations.

    Attributes
    ----------
    confirmed_s : float
        Local time at which the data of the last sufficient reply was certainly the newest.

    Notes
    -----
    The age of a confirmation in a reply is subtracted from the time at which the request was sent.
    The reply was written later, so the confirmation is never taken for more recent than it is.

    If the deployment has evacuations, a reply without them, from a leader of an older version, does
    not suffice, and no configuration is applied before the evacuations are known.
    """

    __slots__ = (
        "_address",
        "_calls",
        "_last_change",
        "_last_configuration_s",
        "_leader_incarnation",
        "broken",
        "clock",
        "confirmed_s",
        "crashes",
        "current",
        "daemon_counter",
        "decode",
        "directory",
        "evacuated",
        "is_settled",
        "name",
        "raise_era",
    )

    def __init__(
        self,
        current: CurrentConfiguration,
        directory: TargetDirectory,
        decode: Callable[[bytes], Configuration | ConfigurationUnreadable],
        clock: Clock,
        broken: BrokenReplicas | None = None,
        daemon_counter: DaemonCounter | None = None,
        name: str = "",
        crashes: CrashExchange | None = None,
        raise_era: Callable[[int], None] = lambda era: None,
        is_settled: Callable[[], bool] = lambda: True,
        evacuated: EvacuatedHalls | None = None,
    ):
        self.evacuated = evacuated or EvacuatedHalls((), None, clock)
        self.raise_era = raise_era
        self.is_settled = is_settled
        self.current = current
        self.directory = directory
        self.decode = decode
        self.clock = clock
        self.broken = broken or BrokenReplicas()
        self.daemon_counter = daemon_counter or DaemonCounter()
        self.name = name
        self.crashes = crashes or CrashExchange(CrashHistory(clock))
        self.confirmed_s = float("-inf")
        self._address = ""
        self._calls = PeerCalls()
        self._leader_incarnation = ""
        self._last_change = 0
        self._last_configuration_s = float("-inf")

    async def poll(self, address: str) -> bool:
        """Poll the leader once; return whether its reply suffices without reading the store."""
        if address != self._address:
            await self.close()
            self._address = address
        sent_s = self.clock.now_s()
        known_list_id = self._leader_incarnation
        if not known_list_id and self.directory.loaded:
            known_list_id = encode_known_position(self.directory.position)
        request = UpdateRequest(
            known_list_id,
            self._last_change,
            self.current.version,
            self.broken.to_report(sent_s),
            self.name,
            self.crashes.request_update(address),
            self.directory.leaving_reports(),
        )
        accepts = [ACCEPTS_LEAVING]
        if self.evacuated.is_used:
            accepts.append(ACCEPTS_EVACUATED)
        data = await self._calls.call(
            address, NEWS_METHOD, encode(request), REPLY_TIMEOUT_S, tuple(accepts)
        )
        if data is None:
            await self.close()
            return False
        try:
            reply = decode_reply(data)
        except (ValueError, TypeError, KeyError) as error:
            log_event(_LOG, logging.ERROR, "news_unreadable", address=address, why=repr(error))
            await self.close()
            return False
        self.crashes.merge_reply(address, request.crashes, reply.crashes)
        is_sufficient = self._apply_reply(reply, sent_s)
        if reply.configuration:
            is_frequent = sent_s - self._last_configuration_s < FREQUENT_CONFIGURATION_S
            self._last_configuration_s = sent_s
            if is_frequent:
                await asyncio.sleep(CONFIGURATION_PAUSE_S)
        return is_sufficient

    async def call_leader(self, address: str, method: str, data: bytes) -> bytes | None:
        """Call another method of the leader; return its reply, or None if there was none."""
        return await self._calls.call(address, method, data, REPLY_TIMEOUT_S)

    async def close(self) -> None:
        """Close the connection; the next request names the directory's position as known."""
        self._leader_incarnation = ""
        await self._calls.close()

    def _apply_reply(self, reply: UpdateReply, sent_s: float) -> bool:
        """Apply a reply; return whether it suffices without reading the store.

        It does if its confirmation is at most `LEADER_MAX_AGE_S` old, or if the era of the store
        has not settled.
        """
        for target_id, incarnation in reply.leaving:
            self.directory.note_leaving(target_id, incarnation, ListSource.LEADER)
        self.evacuated.merge(reply.evacuated, sent_s)
        if not self.evacuated.is_known:
            return False
        self._apply_configuration(reply, sent_s)
        if not reply.serves:
            return False
        self.broken.receive_from_leader(reply.broken, self.clock.now_s())
        self.daemon_counter.receive(reply.daemons, sent_s)
        confirmed_s = sent_s - reply.age_s if reply.age_s is not None else float("-inf")
        if reply.position < self.directory.position:
            return False  # this daemon has already read newer targets
        self.raise_era(reply.era)
        self._leader_incarnation, self._last_change = reply.life, reply.change
        self.directory.apply(
            TargetChanges(reply.whole, reply.entries, reply.removed, reply.position),
            ListSource.LEADER,
        )
        if reply.whole and not self.is_settled():
            self.directory.is_provisional = True  # the leader's list may be provisional too
        if reply.age_s is not None:
            self.directory.confirmation.confirm(confirmed_s)
        is_recent = reply.age_s is not None and reply.age_s <= LEADER_MAX_AGE_S
        has_evacuations = reply.evacuated is not None or not self.evacuated.is_used
        is_sufficient = has_evacuations and (is_recent or not self.is_settled())
        if is_sufficient:
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
        return is_sufficient

    def _apply_configuration(self, reply: UpdateReply, sent_s: float) -> None:
        if reply.configuration:
            decoded = self.decode(reply.configuration.encode())
            if isinstance(decoded, Configuration):
                self.current.apply_if_newer(decoded, None)
            else:
                log_event(_LOG, logging.ERROR, "configuration_unreadable", why=decoded.reason)
        if reply.age_s is not None:
            self.current.confirm(reply.version, sent_s - reply.age_s)
