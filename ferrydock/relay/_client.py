"""Following another daemon instead of the store."""

import logging
from collections.abc import Callable

from ..clock import Clock
from ..configuration import Configuration, ConfigurationUnreadable, CurrentConfiguration
from ..logs import log_event
from ..targets import TargetChanges, TargetDirectory
from ._broken_replicas import BrokenReplicas
from ._daemon_counter import DaemonCounter
from ._messages import NewsAnswer, NewsRequest, decode_answer, encode
from ._peers import PeerCalls
from ._server import NEWS

__all__ = ["RelayClient"]

_LOG = logging.getLogger("ferrydock.relay")
ANSWER_TIMEOUT_S = 0.6
MOST_AGE_S = 1.1


class RelayClient:
    """Pulls news from the daemon that reads the store for this hall.

    Parameters
    ----------
    current, directory : CurrentConfiguration, TargetDirectory
        What is filled.
    decode : callable
        Reads an encoded configuration.
    broken : BrokenReplicas, optional
        What is known of broken replicas.
    daemon_counter : DaemonCounter, optional
        Is told how many daemons the hall has.
    name : str, default=""
        Of this daemon, as others count it.

    Notes
    -----
    Confirmations travel as ages: an answer's age counts from the moment the question was sent,
    which is no later than the answer was written.
    """

    __slots__ = (
        "_address",
        "_calls",
        "_change",
        "_life",
        "current",
        "broken",
        "clock",
        "decode",
        "directory",
        "name",
        "daemon_counter",
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
    ):
        self.broken = broken or BrokenReplicas()
        self.daemon_counter = daemon_counter or DaemonCounter()
        self.name = name
        self.current = current
        self.directory = directory
        self.decode = decode
        self.clock = clock
        self._address = ""
        self._calls = PeerCalls()
        self._life = ""
        self._change = 0

    async def pull(self, address: str) -> bool:
        """Ask once; return whether the answer was good enough to need no store."""
        if address != self._address:
            await self.close()
            self._address = address
        request = NewsRequest(
            self._life,
            self._change,
            self.current.version,
            self.broken.lately(self.clock.now_s()),
            self.name,
        )
        sent_s = self.clock.now_s()
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
        return self._take(answer, sent_s)

    async def close(self) -> None:
        """Give up the connection; the next answer brings the whole list."""
        self._life = ""
        await self._calls.close()

    def _take(self, answer: NewsAnswer, sent_s: float) -> bool:
        if answer.configuration:
            found = self.decode(answer.configuration.encode())
            if isinstance(found, Configuration):
                self.current.offer(found, None)
        if answer.age_s is not None:
            self.current.confirm(answer.version, sent_s - answer.age_s)
        if not answer.serves:
            return False
        self.broken.hear(answer.broken)
        self.daemon_counter.learn(answer.daemons, sent_s)
        if answer.revision < self.directory.revision:
            return False  # what this daemon has read itself is newer
        self._life, self._change = answer.life, answer.change
        if answer.whole or answer.entries or answer.removed:
            self.directory.take(
                TargetChanges(answer.whole, answer.entries, answer.removed, answer.revision)
            )
        return answer.age_s is not None and answer.age_s <= MOST_AGE_S
