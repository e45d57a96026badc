"""Answering followers: the target list, the configuration, and requests that crash their targets.

Owns the server for calls between daemons; other packages add their calls to it. Answers from the
current configuration and the target directory; keeps nothing of its own but the id of its life.
"""

import asyncio
import uuid
from collections.abc import Callable, Mapping
from types import MappingProxyType

import grpc
import grpc.aio

from ..clock import Clock
from ..configuration import CurrentConfiguration
from ..crashes import CrashExchange, CrashHistory
from ..invariants import BrokenInvariant
from ..targets import TargetDirectory
from ._broken_replicas import BrokenReplicas
from ._daemon_counter import DaemonCounter
from ._messages import NewsAnswer, NewsRequest, decode_request, encode, position_of_life
from ._packing import pack
from ._peers import OPTIONS, SERVICE, PeerMethod

__all__ = ["NEWS", "RelayServer"]

# Name of the call on the wire.
NEWS = "News"

# How long a question is held while there is nothing new, so that a change reaches a follower as
# soon as this daemon has it. A part of the bound explained at `freshness.LEADER_MAX_AGE_S`.
HOLD_S = 0.3

# Pause between two looks for something new while a question is held.
LOOK_S = 0.05

# How long calls under way may still take when the server is closed.
CLOSE_GRACE_S = 0.1


def _answering(method: PeerMethod) -> Callable:
    """Return the handler of a call; one whose bytes cannot be decoded is refused."""

    async def handle(data: bytes, context: grpc.aio.ServicerContext) -> bytes:
        try:
            return pack(await method(data))
        except (ValueError, TypeError, KeyError) as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            raise BrokenInvariant("abort() always raises") from error

    return handle


class RelayServer:
    """Serves followers.

    Parameters
    ----------
    current, directory : CurrentConfiguration, TargetDirectory
        What is passed on.
    reads_store : callable
        Whether this daemon reads the store for its hall and reached it recently.
    broken : BrokenReplicas, optional
        The followers' reports, and what is reported to them.
    daemon_counter : DaemonCounter, optional
        Counts who asks.
    crashes : CrashExchange, optional
        What is known of requests that crash their targets.
    """

    __slots__ = (
        "_server",
        "broken",
        "clock",
        "crashes",
        "current",
        "daemon_counter",
        "directory",
        "life",
        "reads_store",
    )

    def __init__(
        self,
        current: CurrentConfiguration,
        directory: TargetDirectory,
        reads_store: Callable[[], bool],
        clock: Clock,
        broken: BrokenReplicas | None = None,
        daemon_counter: DaemonCounter | None = None,
        crashes: CrashExchange | None = None,
    ):
        self.current = current
        self.directory = directory
        self.reads_store = reads_store
        self.clock = clock
        self.broken = broken or BrokenReplicas()
        self.daemon_counter = daemon_counter or DaemonCounter()
        self.crashes = crashes or CrashExchange(CrashHistory(clock))
        self.life = uuid.uuid4().hex[:12]
        self._server: grpc.aio.Server | None = None

    async def start(
        self, listen: str, methods: Mapping[str, PeerMethod] = MappingProxyType({})
    ) -> str:
        """Begin to listen on ``IP:PORT``; return the address, whose port may have been 0.

        Parameters
        ----------
        methods : mapping of str to callable
            More calls to serve. One that raises ValueError or TypeError could not decode its data.
        """
        self._server = grpc.aio.server(options=OPTIONS)
        handlers: dict[str, grpc.RpcMethodHandler] = {
            name: grpc.unary_unary_rpc_method_handler(_answering(method))
            for name, method in {NEWS: self._news, **methods}.items()
        }
        generic = grpc.method_handlers_generic_handler(SERVICE, handlers)
        self._server.add_generic_rpc_handlers((generic,))
        port = self._server.add_insecure_port(listen)
        await self._server.start()
        return f"{listen.rsplit(':', 1)[0]}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.stop(CLOSE_GRACE_S)

    async def _news(self, data: bytes) -> bytes:
        """Answer a follower once there is something new, or after `HOLD_S`."""
        request = decode_request(data)
        self.crashes.receive(request.crashes)
        self.broken.receive(request.broken)
        self._receive_leaving(request)
        self.daemon_counter.note_follower(request.sender, self.clock.now_s())
        broken_before = self.broken.count
        until_s = self.clock.now_s() + HOLD_S
        while (
            self._has_all(request)
            and not self.crashes.has_news_for(request.crashes)
            and self.broken.count == broken_before
            and self.clock.now_s() < until_s
            and self.reads_store()
        ):
            await asyncio.sleep(LOOK_S)
        return encode(self.answer(request))

    def _receive_leaving(self, request: NewsRequest) -> None:
        """Take over which targets have told a follower that they leave."""
        for target_id, life in request.leaving:
            self.directory.note_leaving(target_id, life)

    def _has_all(self, request: NewsRequest) -> bool:
        """Return whether a follower has this daemon's list and configuration already."""
        return (
            request.life == self.life
            and request.change == self.directory.changes
            and request.version == self.current.version
        )

    def answer(self, request: NewsRequest) -> NewsAnswer:
        """Return what a follower lacks."""
        now_s = self.clock.now_s()
        is_whole, entries, removed = self._list_changes(request)
        age_s = self.current.age_s(now_s)
        serves = self.reads_store() and self.directory.loaded
        if serves:
            age_s = max(age_s, self.directory.age_s(now_s))
        return NewsAnswer(
            serves=serves,
            life=self.life,
            change=self.directory.changes,
            whole=is_whole,
            entries=entries,
            removed=removed,
            revision=self.directory.position.revision,
            era=self.directory.position.era,
            version=self.current.version,
            configuration=self._configuration_for(request),
            age_s=age_s if age_s != float("inf") else None,
            broken=self.broken.recent(now_s),
            daemons=self.daemon_counter.count_followers(now_s),
            crashes=self.crashes.answer(request.crashes, repeated_only=True),
        )

    def _list_changes(self, request: NewsRequest) -> tuple[bool, tuple, tuple[str, ...]]:
        """Return whether the entries are the whole list, the entries, and the removed ids."""
        directory = self.directory
        changed = self._changed_for(request)
        if changed is None:
            return True, tuple(directory.targets.values()), ()
        entries = tuple(directory.targets[i] for i in changed if i in directory.targets)
        removed = tuple(i for i in changed if i not in directory.targets)
        return False, entries, removed

    def _changed_for(self, request: NewsRequest) -> tuple[str, ...] | None:
        """Return the ids that changed since what a follower has; None for all.

        After a change of leader all followers ask at once. A whole list of 765 targets is 225 KB
        and 20 ms of a core for each (made-up targets, one run): for 39 followers 1.5 s on half a
        core, of a lease of 1.8 s.
        """
        if request.life == self.life:
            return self.directory.changed_since(request.change)
        known = position_of_life(request.life)
        return self.directory.changed_after(known) if known is not None else None

    def _configuration_for(self, request: NewsRequest) -> str:
        """Return the configuration as it is stored, or "" if the follower has it."""
        lookup = self.current.lookup
        if lookup is None or request.version >= lookup.configuration.version:
            return ""
        return lookup.configuration.encoded.decode()
