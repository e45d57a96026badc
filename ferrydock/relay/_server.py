"""Answering followers: the list of targets and the configuration, as this daemon knows them."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import grpc
import grpc.aio

from ..clock import Clock
from ..configuration import CurrentConfiguration
from ..targets import TargetDirectory
from ._broken_replicas import BrokenReplicas
from ._daemon_counter import DaemonCounter
from ._messages import NewsAnswer, decode_request, encode
from ._peers import OPTIONS, SERVICE

__all__ = ["NEWS", "RelayServer"]

NEWS = "News"
HOLD_S = 0.3
LOOK_S = 0.05


Method = Callable[[bytes], Awaitable[bytes]]


def _answering(method: Method) -> Callable:
    """Return a call's handler, which refuses what the call cannot read."""

    async def handle(data: bytes, context: grpc.aio.ServicerContext) -> bytes:
        try:
            return await method(data)
        except (ValueError, TypeError) as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    return handle


class RelayServer:
    """Serves followers.

    Parameters
    ----------
    current, directory : CurrentConfiguration, TargetDirectory
        What is told.
    reads_store : callable
        Whether this daemon reads the store itself and lately reached it.
    broken : BrokenReplicas, optional
        What is known of broken replicas.
    daemon_counter : DaemonCounter, optional
        Counts who asks.
    """

    __slots__ = (
        "_server",
        "current",
        "broken",
        "clock",
        "directory",
        "life",
        "reads_store",
        "daemon_counter",
    )

    def __init__(
        self,
        current: CurrentConfiguration,
        directory: TargetDirectory,
        reads_store: Callable[[], bool],
        clock: Clock,
        broken: BrokenReplicas | None = None,
        daemon_counter: DaemonCounter | None = None,
    ):
        self.broken = broken or BrokenReplicas()
        self.daemon_counter = daemon_counter or DaemonCounter()
        self.current = current
        self.directory = directory
        self.reads_store = reads_store
        self.clock = clock
        self.life = uuid.uuid4().hex[:12]
        self._server: grpc.aio.Server | None = None

    async def start(self, listen: str, methods: Mapping[str, Method] = MappingProxyType({})) -> str:
        """Begin to listen on ``IP:PORT``; return the address, whose port may have been 0.

        Parameters
        ----------
        methods : mapping of str to callable
            More calls to serve. One that raises ValueError or TypeError could not read its data.
        """
        self._server = grpc.aio.server(options=OPTIONS)
        handlers = {
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
            await self._server.stop(0.1)

    async def _news(self, data: bytes) -> bytes:
        request = decode_request(data)
        self.broken.hear(request.broken)
        self.daemon_counter.heard(request.sender, self.clock.now_s())
        known_broken = self.broken.count
        until_s = self.clock.now_s() + HOLD_S
        while (
            self._is_known(request)
            and self.broken.count == known_broken
            and self.clock.now_s() < until_s
            and self.reads_store()
        ):
            await asyncio.sleep(LOOK_S)
        return encode(self.answer(request))

    def _is_known(self, request) -> bool:
        same_life = request.life == self.life
        return (
            same_life
            and request.change == self.directory.changes
            and request.version == self.current.version
        )

    def answer(self, request) -> NewsAnswer:
        """Return what a follower lacks."""
        directory, current = self.directory, self.current
        changed = directory.changed_since(request.change) if request.life == self.life else None
        if changed is None:
            entries, removed = tuple(directory.targets.values()), ()
        else:
            entries = tuple(directory.targets[i] for i in changed if i in directory.targets)
            removed = tuple(i for i in changed if i not in directory.targets)
        configuration = current.lookup.configuration if current.lookup else None
        lacks = configuration is not None and request.version < configuration.version
        age_s = current.age_s(self.clock.now_s())
        return NewsAnswer(
            serves=self.reads_store() and directory.loaded,
            life=self.life,
            change=directory.changes,
            whole=changed is None,
            entries=entries,
            removed=removed,
            revision=directory.revision,
            version=current.version,
            configuration=configuration.encoded.decode() if lacks else "",
            age_s=age_s if age_s != float("inf") else None,
            broken=self.broken.lately(self.clock.now_s()),
            daemons=self.daemon_counter.count_followers(self.clock.now_s()),
        )
