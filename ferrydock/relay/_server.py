"""Serves followers the target list, the configuration, and which requests crash their targets.

Owns the gRPC server for calls between daemons; other packages add their methods to it. Replies are
built from the current configuration and the target directory; its only own state is the incarnation
of this process.
"""

import asyncio
import uuid
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING

from ..clock import Clock
from ..configuration import CurrentConfiguration
from ..crashes import CrashExchange, CrashHistory
from ..evacuation import EvacuatedHalls
from ..invariants import BrokenInvariant
from ..targets import ListSource, Target, TargetDirectory
from ._broken_replicas import BrokenReplicas
from ._daemon_counter import DaemonCounter
from ._messages import UpdateReply, UpdateRequest, decode_known_position, decode_request, encode
from ._packing import compress
from ._peers import GRPC_OPTIONS, NEWS_METHOD, SERVICE_NAME, PeerMethod

if TYPE_CHECKING:
    import grpc.aio

__all__ = ["ACCEPTS_EVACUATED", "ACCEPTS_LEAVING", "RelayServer"]

# gRPC metadata of a follower's request: it can decode the field `evacuated`, or `leaving`, of the
# reply. A follower of an older version rejects a reply with a field that it does not know. A leader
# of an older version rejects a request with such a field, but ignores metadata.
ACCEPTS_EVACUATED = ("ferrydock-accepts", "evacuated")
ACCEPTS_LEAVING = ("ferrydock-accepts", "leaving")

# A reply is delayed by up to this time while there are no changes, so that a change reaches the
# follower as soon as this daemon has it. Added to a leader's pause between two confirmations, it
# must stay below the age at which a follower asks the store itself (`freshness.ChangeBudget`).
LONG_POLL_S = 0.3

# Time between two checks for changes while a reply is delayed.
POLL_INTERVAL_S = 0.05

# Time that calls in progress get to complete when the server is closed.
CLOSE_GRACE_S = 0.1


def _make_handler(method: PeerMethod) -> Callable:
    """Wrap a method as a gRPC handler; requests that it cannot decode are invalid arguments."""
    import grpc

    async def handle(data: bytes, context: "grpc.aio.ServicerContext") -> bytes:
        try:
            return compress(await method(data))
        except (ValueError, TypeError, KeyError) as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            raise BrokenInvariant("abort() always raises") from error

    return handle


class RelayServer:
    """Serves the requests of followers, and methods that other packages add.

    Parameters
    ----------
    current, directory : CurrentConfiguration, TargetDirectory
        The state that is sent to followers.
    reads_store : callable
        Returns whether this daemon reads the store for its hall and has reached it recently.
    broken : BrokenReplicas, optional
        Receives the followers' reports; source of the reports to them.
    daemon_counter : DaemonCounter, optional
        Counts the followers that send requests.
    crashes : CrashExchange, optional
        Exchanges with followers which requests crash their targets.
    evacuated : EvacuatedHalls, optional
        Evacuated halls that are reported to followers; by default none.
    """

    __slots__ = (
        "_server",
        "broken",
        "clock",
        "crashes",
        "current",
        "daemon_counter",
        "directory",
        "evacuated",
        "incarnation",
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
        evacuated: EvacuatedHalls | None = None,
    ):
        self.current = current
        self.directory = directory
        self.reads_store = reads_store
        self.clock = clock
        self.broken = broken or BrokenReplicas()
        self.daemon_counter = daemon_counter or DaemonCounter()
        self.crashes = crashes or CrashExchange(CrashHistory(clock))
        self.evacuated = evacuated or EvacuatedHalls((), None, clock)
        self.incarnation = uuid.uuid4().hex[:12]
        self._server: grpc.aio.Server | None = None

    async def start(
        self, listen: str, methods: Mapping[str, PeerMethod] = MappingProxyType({})
    ) -> str:
        """Start listening on ``IP:PORT``; return the address with the actual port.

        Parameters
        ----------
        listen : str
            Address; with port 0 the system chooses a port.
        methods : mapping of str to callable
            Additional methods by name. A method that cannot decode its request raises ValueError,
            TypeError or KeyError.
        """
        import grpc.aio  # imported after the listeners are open (`route_daemon._late_imports`)

        self._server = grpc.aio.server(options=GRPC_OPTIONS)
        handlers: dict[str, grpc.RpcMethodHandler] = {
            name: grpc.unary_unary_rpc_method_handler(_make_handler(method))
            for name, method in methods.items()
        }
        handlers[NEWS_METHOD] = grpc.unary_unary_rpc_method_handler(self._handle_news_call)
        generic = grpc.method_handlers_generic_handler(SERVICE_NAME, handlers)
        self._server.add_generic_rpc_handlers((generic,))
        port = self._server.add_insecure_port(listen)
        await self._server.start()
        return f"{listen.rsplit(':', 1)[0]}:{port}"

    async def close(self) -> None:
        """Stop the server; calls in progress get `CLOSE_GRACE_S` to complete."""
        if self._server is not None:
            await self._server.stop(CLOSE_GRACE_S)

    async def _handle_news_call(self, data: bytes, context: "grpc.aio.ServicerContext") -> bytes:
        """Handle a follower's request, with what its metadata says that it can decode."""
        metadata = tuple(context.invocation_metadata() or ())

        async def handle(data: bytes) -> bytes:
            return await self._handle_update_request(data, metadata)

        return await _make_handler(handle)(data, context)

    async def _handle_update_request(
        self, data: bytes, metadata: tuple[tuple[str, str | bytes], ...] = ()
    ) -> bytes:
        """Reply to a follower once there are changes, or after `LONG_POLL_S`."""
        request = decode_request(data)
        received_s = self.clock.now_s()
        self.crashes.merge_request(request.crashes)
        self.broken.receive(request.broken)
        self._receive_leaving(request)
        self.daemon_counter.record_request(request.sender, self.clock.now_s())
        avoided_before = self.broken.changes
        evacuations_before = self.evacuated.changes
        until_s = received_s + LONG_POLL_S
        while (
            self._is_up_to_date(request)
            and not self.crashes.has_update_for(request.crashes)
            and self.broken.changes == avoided_before
            and self.evacuated.changes == evacuations_before
            and self.clock.now_s() < until_s
            and self.reads_store()
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
        return encode(self.reply_to(request, metadata, received_s))

    def _receive_leaving(self, request: UpdateRequest) -> None:
        """Pass on to the directory which targets have announced to a follower that they leave."""
        for target_id, incarnation in request.leaving:
            self.directory.note_leaving(target_id, incarnation, ListSource.FOLLOWER)

    def _is_up_to_date(self, request: UpdateRequest) -> bool:
        """Return whether a follower already has this daemon's target list and configuration."""
        return (
            request.life == self.incarnation
            and request.change == self.directory.changes
            and request.version == self.current.version
        )

    def reply_to(
        self,
        request: UpdateRequest,
        metadata: tuple[tuple[str, str | bytes], ...] = (),
        received_s: float | None = None,
    ) -> UpdateReply:
        """Return the reply to a follower, with everything that it does not have yet.

        A daemon that does not serve as a leader sends no targets: the follower would not apply
        them, and a complete list can be 225 KB.

        Parameters
        ----------
        metadata : tuple of (str, str or bytes)
            gRPC metadata of the request, which states the fields that the follower can decode.
        received_s : float, optional
            Local time at which the request was received; by default now. The age in the reply
            counts from then, since the follower subtracts it from when it sent the request.
        """
        now_s = self.clock.now_s()
        received_s = now_s if received_s is None else received_s
        is_complete = False
        entries: tuple[Target, ...] = ()
        removed: tuple[str, ...] = ()
        age_s = self.current.age_s(received_s)
        serves = self.reads_store() and self.directory.loaded
        if serves:
            is_complete, entries, removed = self._target_changes_for(request)
            age_s = max(age_s, self.directory.age_s(received_s))
        return UpdateReply(
            serves=serves,
            life=self.incarnation,
            change=self.directory.changes,
            whole=is_complete,
            entries=entries,
            removed=removed,
            revision=self.directory.position.revision,
            era=self.directory.position.era,
            version=self.current.version,
            configuration=self._configuration_for(request),
            age_s=age_s if age_s != float("inf") else None,
            broken=self.broken.to_report(now_s),
            daemons=self.daemon_counter.count_daemons(now_s),
            crashes=self.crashes.reply_update(request.crashes, repeated_only=True),
            evacuated=self.evacuated.report() if ACCEPTS_EVACUATED in metadata else None,
            leaving=self._unreported_leaving(request) if ACCEPTS_LEAVING in metadata else (),
        )

    def _unreported_leaving(self, request: UpdateRequest) -> tuple[tuple[str, int], ...]:
        """Return the targets that have announced that they leave, unless the follower reports them.

        The changed entries show these targets as draining too, but a follower that has read the
        list from the store meanwhile, or whose last reply was lost, does not get those entries.
        """
        reported = frozenset(request.leaving)
        return tuple(each for each in self.directory.leaving_reports() if each not in reported)

    def _target_changes_for(self, request: UpdateRequest) -> tuple[bool, tuple, tuple[str, ...]]:
        """Return the part of the target list that a follower does not have.

        Returns
        -------
        is_complete : bool
            Whether the entries are the complete list.
        entries : tuple of Target
            All targets, or the changed ones.
        removed : tuple of str
            Ids of the removed targets; empty if the list is complete.
        """
        directory = self.directory
        changed_ids = self._changed_ids_for(request)
        if changed_ids is None:
            return True, tuple(directory.targets.values()), ()
        entries = tuple(directory.targets[i] for i in changed_ids if i in directory.targets)
        removed = tuple(i for i in changed_ids if i not in directory.targets)
        return False, entries, removed

    def _changed_ids_for(self, request: UpdateRequest) -> tuple[str, ...] | None:
        """Return the ids of the targets that changed since a follower's list; None for all targets.

        A follower of another leader gets the changes after its position. Otherwise all followers
        would get the complete list at once after a change of leader. With 765 targets it takes
        225 KB and 20 ms of a core for each; for 39 followers this occupies half a core for 1.5 s,
        while the leader's lease lasts 1.8 s.
        """
        if request.life == self.incarnation:
            return self.directory.ids_changed_since(request.change)
        known_position = decode_known_position(request.life)
        return (
            self.directory.ids_changed_after_position(known_position)
            if known_position is not None
            else None
        )

    def _configuration_for(self, request: UpdateRequest) -> str:
        """Return the encoded configuration, or "" if the follower has it."""
        lookup = self.current.lookup
        if lookup is None or request.version >= lookup.configuration.version:
            return ""
        return lookup.configuration.encoded.decode()
