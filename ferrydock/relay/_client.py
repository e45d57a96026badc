"""Following the hall leader instead of the store.

Owns the position in the leader's target list, and the connection. Fills the current configuration,
the target directory, the broken replicas and the daemon counter.
"""

import asyncio
import logging
from collections.abc import Callable

from ..clock import Clock
from ..configuration import Configuration, ConfigurationUnreadable, CurrentConfiguration
from ..crashes import CrashExchange, CrashHistory
from ..freshness import LEADER_MAX_AGE_S
from ..logs import log_event
from ..targets import TargetChanges, TargetDirectory
from ._broken_replicas import BrokenReplicas
from ._daemon_counter import DaemonCounter
from ._messages import NewsAnswer, NewsRequest, decode_answer, encode, life_of_position
from ._peers import PeerCalls
from ._server import NEWS

__all__ = ["RelayClient"]

_LOG = logging.getLogger("ferrydock.relay")

# How long the leader may take to answer: it holds a question for up to 0.3 s while nothing changes.
# Part of the bound explained at `freshness.LEADER_MAX_AGE_S`.
ANSWER_TIMEOUT_S = 0.6


# Pause after an answer that brought a configuration, if the one before came less than a second ago,
# in seconds. While configurations follow each other every 0.1 s each of them is 35 to 150 KB for
# every follower: 12 a second of 150 KB to 23 followers are 330 Mbit/s, on links of 10 to 100, and
# one of 914 routes takes 11 ms of a core to put in force (made-up routes, one run). It adds to the
# time explained at `freshness.LEADER_MAX_AGE_S`, which has 0.15 s to spare.
BETWEEN_CONFIGURATIONS_S = 0.15
OFTEN_S = 1.0


class RelayClient:
    """Pulls news from the hall leader.

    Parameters
    ----------
    current, directory : CurrentConfiguration, TargetDirectory
        What is filled.
    decode : callable
        Decodes a configuration as it is stored.
    broken : BrokenReplicas, optional
        Reports to the leader, and its reports.
    daemon_counter : DaemonCounter, optional
        Receives the number of daemons in the hall.
    name : str, default=""
        Of this daemon, as the leader counts it.
    crashes : CrashExchange, optional
        Requests that crash their targets, exchanged with the leader.
    note_era : callable, optional
        Called with the era of the store in each answer.
    is_settled : callable, optional
        Whether that era has settled; until then nothing is confirmed, also to one who asks the
        store, so a leader that reaches it makes the store unnecessary nevertheless.

    Notes
    -----
    The age of a confirmation in an answer counts from the moment the question was sent, which is
    no later than the answer was written.
    """

    __slots__ = (
        "_address",
        "_calls",
        "_change",
        "_configured_s",
        "_life",
        "broken",
        "clock",
        "crashes",
        "current",
        "daemon_counter",
        "decode",
        "directory",
        "is_settled",
        "name",
        "note_era",
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
        note_era: Callable[[int], None] = lambda era: None,
        is_settled: Callable[[], bool] = lambda: True,
    ):
        self.note_era = note_era
        self.is_settled = is_settled
        self.current = current
        self.directory = directory
        self.decode = decode
        self.clock = clock
        self.broken = broken or BrokenReplicas()
        self.daemon_counter = daemon_counter or DaemonCounter()
        self.name = name
        self.crashes = crashes or CrashExchange(CrashHistory(clock))
        self._address = ""
        self._calls = PeerCalls()
        self._life = ""
        self._change = 0
        self._configured_s = float("-inf")

    async def pull(self, address: str) -> bool:
        """Ask the leader once; return whether its answer makes the store unnecessary."""
        if address != self._address:
            await self.close()
            self._address = address
        sent_s = self.clock.now_s()
        life = self._life
        if not life and self.directory.loaded:
            life = life_of_position(self.directory.position)
        request = NewsRequest(
            life,
            self._change,
            self.current.version,
            self.broken.recent(sent_s),
            self.name,
            self.crashes.question(address),
            self.directory.leaving_reports(),
        )
        data = await self._calls.call(address, NEWS, encode(request), ANSWER_TIMEOUT_S)
        if data is None:
            await self.close()
            return False
        try:
            answer = decode_answer(data)
        except (ValueError, TypeError, KeyError) as error:
            log_event(_LOG, logging.ERROR, "news_unreadable", address=address, why=repr(error))
            await self.close()
            return False
        self.crashes.take_answer(address, request.crashes, answer.crashes)
        is_enough = self._take(answer, sent_s)
        if answer.configuration:
            is_often = sent_s - self._configured_s < OFTEN_S
            self._configured_s = sent_s
            if is_often:
                await asyncio.sleep(BETWEEN_CONFIGURATIONS_S)
        return is_enough

    async def ask_leader(self, address: str, method: str, data: bytes) -> bytes | None:
        """Make another call to the leader; return its answer, or None if there was none."""
        return await self._calls.call(address, method, data, ANSWER_TIMEOUT_S)

    async def close(self) -> None:
        """Close the connection; the next answer brings what changed since the known position."""
        self._life = ""
        await self._calls.close()

    def _take(self, answer: NewsAnswer, sent_s: float) -> bool:
        """Take over an answer; return whether it makes the store unnecessary."""
        self._take_configuration(answer, sent_s)
        if not answer.serves:
            return False
        self.broken.receive(answer.broken)
        self.daemon_counter.receive(answer.daemons, sent_s)
        if answer.position < self.directory.position:
            return False  # what this daemon has read itself is newer
        self.note_era(answer.era)
        self._life, self._change = answer.life, answer.change
        self.directory.take(
            TargetChanges(answer.whole, answer.entries, answer.removed, answer.position)
        )
        if answer.age_s is not None:
            self.directory.confirmation.confirm(sent_s - answer.age_s)
        is_young = answer.age_s is not None and answer.age_s <= LEADER_MAX_AGE_S
        return is_young or not self.is_settled()

    def _take_configuration(self, answer: NewsAnswer, sent_s: float) -> None:
        if answer.configuration:
            decoded = self.decode(answer.configuration.encode())
            if isinstance(decoded, Configuration):
                self.current.offer(decoded, None)
            else:
                log_event(_LOG, logging.ERROR, "configuration_unreadable", why=decoded.reason)
        if answer.age_s is not None:
            self.current.confirm(answer.version, sent_s - answer.age_s)
