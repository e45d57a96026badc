"""gRPC calls between daemons: digests, table, placement, claims and burn reports."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import grpc
import grpc.aio
import xxhash
from google.protobuf.message import Message

from ..clock import Clock
from ..outcomes import Unavailable, Unknown
from ..placement import HallPlacement
from ..store import Txn, TxnDone
from ..table import AcceptedEdit, OfferResult, TableCopy
from ._claim_relay import pack_claim, pack_written, unpack_claim, unpack_written
from ._digest import NewerData, apply_digest, build_digest
from ._exchange_pb2 import (
    BurnReply,
    BurnRequest,
    ClaimWrite,
    ClaimWritten,
    Digest,
    PlacementReply,
    PlacementRequest,
    TableReply,
    TableRequest,
)
from ._state import SharedState

__all__ = ["ExchangeClient", "ExchangeServer", "PeerSecurity", "DigestReply"]

Reply = TypeVar("Reply", bound=Message)

SERVICE = "ferrydock.Exchange"
CALL_TIMEOUT_S = 0.5
PULL_TIMEOUT_S = 5.0
CLAIM_TIMEOUT_S = 3.0
MAX_MESSAGE_BYTES = 16 * 2**20
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
)
_CHANNEL_OPTIONS = (
    *_OPTIONS,
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
)


class PeerSecurity:
    """Certificates for mutual TLS between daemons, read again for each new connection.

    Parameters
    ----------
    certificate_path, key_path, authority_path : str
        PEM files: this daemon's certificate and key, and the authority of all daemons.
    """

    __slots__ = ("authority_path", "certificate_path", "key_path")

    def __init__(self, certificate_path: str, key_path: str, authority_path: str):
        self.certificate_path = certificate_path
        self.key_path = key_path
        self.authority_path = authority_path

    def _read(self) -> tuple[bytes, bytes, bytes]:
        key, certificate, authority = (
            Path(path).read_bytes()
            for path in (self.key_path, self.certificate_path, self.authority_path)
        )
        return key, certificate, authority

    def server_credentials(self) -> grpc.ServerCredentials:
        """Return credentials that accept only peers with a certificate of the authority."""
        key, certificate, authority = self._read()
        initial = grpc.ssl_server_certificate_configuration([(key, certificate)], authority)

        def fetch():
            try:
                key, certificate, authority = self._read()
            except OSError:
                return None
            return grpc.ssl_server_certificate_configuration([(key, certificate)], authority)

        return grpc.dynamic_ssl_server_credentials(initial, fetch, True)

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Return credentials for a new connection to a peer."""
        key, certificate, authority = self._read()
        return grpc.ssl_channel_credentials(authority, key, certificate)


@dataclass(frozen=True, slots=True)
class DigestReply:
    """The daemon that replied to a digest, and what it has newer than this daemon."""

    name: str
    hall: str
    newer_data: NewerData


def _checksum(parts) -> int:
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(part)
    return digest.intdigest()


class ExchangeServer:
    """Serves calls of other daemons.

    Parameters
    ----------
    state : SharedState
        State that is sent to peers and updated from them.
    clock : Clock
        Converts ages to times.
    on_newer_data : callable
        Called with the name of a peer and what it has newer than this daemon.
    """

    __slots__ = (
        "_server",
        "clock",
        "on_burn",
        "on_claim",
        "on_newer_data",
        "port",
        "received_bytes",
        "sent_bytes",
        "state",
    )

    def __init__(self, state: SharedState, clock: Clock, on_newer_data):
        self.state = state
        self.clock = clock
        self.on_newer_data = on_newer_data
        self.on_claim: Callable[[Txn], Awaitable[TxnDone | Unavailable | Unknown]] | None = None
        self.on_burn: Callable[[int, bool], Awaitable[BurnReply]] | None = None
        self.port = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._server: grpc.aio.Server | None = None

    async def start(self, listen: str, security: PeerSecurity | None = None) -> int:
        """Listen on ``IP:PORT``; return the bound port."""
        self._server = grpc.aio.server(options=_OPTIONS)
        self._server.add_generic_rpc_handlers((self._handlers(),))
        if security is None:
            self.port = self._server.add_insecure_port(listen)
        else:
            self.port = self._server.add_secure_port(listen, security.server_credentials())
        await self._server.start()
        return self.port

    async def close(self) -> None:
        """Stop the server."""
        if self._server is not None:
            await self._server.stop(0.1)

    def _handlers(self) -> grpc.GenericRpcHandler:
        def unary(call, request_type):
            return grpc.unary_unary_rpc_method_handler(
                call,
                request_deserializer=request_type.FromString,
                response_serializer=lambda reply: reply.SerializeToString(),
            )

        return grpc.method_handlers_generic_handler(
            SERVICE,
            {
                "Tell": unary(self._exchange_digests, Digest),
                "FetchTable": unary(self._fetch_table, TableRequest),
                "FetchPlacement": unary(self._fetch_placement, PlacementRequest),
                "FetchBurn": unary(self._fetch_burn, BurnRequest),
                "WriteClaim": unary(self._write_claim, ClaimWrite),
            },
        )

    async def _exchange_digests(self, digest: Digest, context) -> Digest:
        now_s = self.clock.now_s()
        self.received_bytes += digest.ByteSize()
        known_before = self.state.members.get(digest.sender) is not None
        newer_data = apply_digest(self.state, digest, now_s, CALL_TIMEOUT_S / 2)
        if newer_data.table or newer_data.placement:
            self.on_newer_data(digest.sender, newer_data)
        everything = digest.wants_all or not known_before
        reply = build_digest(self.state, now_s, digest.hall, everything)
        reply.wants_all = not known_before
        self.sent_bytes += reply.ByteSize()
        return reply

    async def _fetch_table(self, request: TableRequest, context) -> TableReply:
        keeper = self.state.keeper
        newer_edits = None if request.whole else keeper.history.edits_since(request.after_revision)
        reply = TableReply()
        if newer_edits is None or (not newer_edits and request.after_revision < keeper.revision):
            reply.copy = keeper.copy().to_json()
        else:
            reply.edits.extend(edit.to_json() for edit in newer_edits)
        reply.checksum = _checksum((*reply.edits, reply.copy))
        self.sent_bytes += reply.ByteSize()
        return reply

    async def _fetch_placement(self, request: PlacementRequest, context) -> PlacementReply:
        record = self.state.placement.to_json()
        self.sent_bytes += len(record)
        return PlacementReply(record=record, checksum=_checksum((record,)))

    async def _write_claim(self, request: ClaimWrite, context) -> ClaimWritten:
        if self.on_claim is None:
            return pack_written(Unavailable("this daemon writes no claims"))
        return pack_written(await self.on_claim(unpack_claim(request)))

    async def _fetch_burn(self, request: BurnRequest, context) -> BurnReply:
        if self.on_burn is None:
            return BurnReply()
        return await self.on_burn(request.since_minute, request.whole_hall)


class ExchangeClient:
    """Client for calls to other daemons.

    Parameters
    ----------
    state : SharedState
        State that is sent to peers and updated from them.
    clock : Clock
        Converts ages to times.
    security : PeerSecurity, optional
        Certificates; without them connections are not encrypted.
    """

    __slots__ = ("_channels", "clock", "received_bytes", "security", "sent_bytes", "state")

    def __init__(self, state: SharedState, clock: Clock, security: PeerSecurity | None = None):
        self.state = state
        self.clock = clock
        self.security = security
        self.sent_bytes = 0
        self.received_bytes = 0
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def exchange_digests(
        self, address: str, hall: str, wants_all: bool
    ) -> DigestReply | Unavailable:
        """Exchange digests with the daemon at `address`; return its name, hall and newer data."""
        digest = build_digest(self.state, self.clock.now_s(), hall, wants_all)
        digest.wants_all = wants_all
        started_s = self.clock.now_s()
        reply = await self._call(address, "Tell", digest, Digest, CALL_TIMEOUT_S)
        if isinstance(reply, Unavailable):
            return reply
        now_s = self.clock.now_s()
        newer_data = apply_digest(self.state, reply, now_s, now_s - started_s)
        return DigestReply(reply.sender, reply.hall, newer_data)

    async def pull_table(self, address: str) -> OfferResult | Unavailable:
        """Fetch table edits after this daemon's revision, or the full table, from `address`."""
        keeper = self.state.keeper
        outcome = await self._pull_table(address, keeper.revision, whole=not keeper.loaded)
        if outcome is OfferResult.GAP:
            return await self._pull_table(address, keeper.revision, whole=True)
        return outcome

    async def _pull_table(self, address: str, after: int, whole: bool) -> OfferResult | Unavailable:
        request = TableRequest(after_revision=after, whole=whole)
        reply = await self._call(address, "FetchTable", request, TableReply, PULL_TIMEOUT_S)
        if isinstance(reply, Unavailable):
            return reply
        if reply.checksum != _checksum((*reply.edits, reply.copy)):
            return Unavailable("the table was damaged on its way")
        if reply.copy:
            return self.state.keeper.offer_copy(TableCopy.from_json(reply.copy))
        return self.state.keeper.offer_edits(AcceptedEdit.from_json(raw) for raw in reply.edits)

    async def pull_placement(self, address: str) -> bool | Unavailable:
        """Fetch the placement record of the daemon at `address`; return whether it was newer."""
        reply = await self._call(
            address, "FetchPlacement", PlacementRequest(), PlacementReply, PULL_TIMEOUT_S
        )
        if isinstance(reply, Unavailable):
            return reply
        if reply.checksum != _checksum((reply.record,)):
            return Unavailable("the record was damaged on its way")
        return self.state.offer_placement(HallPlacement.from_json(reply.record))

    async def write_claim(self, address: str, txn: Txn) -> TxnDone | Unavailable | Unknown:
        """Have the daemon at `address` write a claim.

        A failed call gives `Unknown`, not `Unavailable`: it may have reached the daemon.
        """
        reply = await self._call(
            address, "WriteClaim", pack_claim(txn), ClaimWritten, CLAIM_TIMEOUT_S
        )
        if isinstance(reply, Unavailable):
            return Unknown(reply.reason)
        return unpack_written(reply, txn)

    async def fetch_burn(
        self, address: str, since_minute: int, whole_hall: bool
    ) -> BurnReply | Unavailable:
        """Fetch the burn counts of the daemon at `address`, or of its entire hall."""
        request = BurnRequest(since_minute=since_minute, whole_hall=whole_hall)
        return await self._call(address, "FetchBurn", request, BurnReply, PULL_TIMEOUT_S)

    async def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            await channel.close()

    async def forget(self, address: str) -> None:
        """Close the connection to an address."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            if self.security is None:
                channel = grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
            else:
                credentials = self.security.channel_credentials()
                channel = grpc.aio.secure_channel(address, credentials, options=_CHANNEL_OPTIONS)
            self._channels[address] = channel
        return channel

    async def _call(
        self, address: str, method: str, request: Message, reply_type: type[Reply], timeout_s: float
    ) -> Reply | Unavailable:
        try:
            channel = self._channel(address)
            call: grpc.aio.UnaryUnaryMultiCallable[Message, Reply] = channel.unary_unary(
                f"/{SERVICE}/{method}",
                request_serializer=lambda message: message.SerializeToString(),
                response_deserializer=reply_type.FromString,
            )
            self.sent_bytes += request.ByteSize()
            reply = await call(request, timeout=timeout_s)
        except (grpc.aio.AioRpcError, OSError) as error:
            reason = error.code().name if isinstance(error, grpc.aio.AioRpcError) else str(error)
            return Unavailable(f"peer {address}: {reason}")
        self.received_bytes += reply.ByteSize()
        return reply
