"""Client of the platform's key-value store; implements the port `ferrydock.store`.

Owns the connections to the store and counts the calls; the stored data belongs to the platform.
"""

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import aiohttp
import orjson

from ..hall_lease import controller_key
from ..http_client import BodyTooLarge, open_session, read_body
from ..logs import log_event
from ..outcomes import Unavailable, Unknown
from ..store import (
    CallCounts,
    KeyValue,
    LeaseGranted,
    LeaseLost,
    Position,
    RangeDone,
    Txn,
    TxnDone,
    WatchBatch,
)
from ._store_messages import (
    RangePage,
    decode_committed,
    decode_kept,
    decode_key,
    decode_lease,
    decode_missing_key,
    decode_page,
    decode_refused,
    decode_watch,
    encode_lease,
    encode_txn,
    page_query,
    watch_query,
)

__all__ = ["MAX_WATCH_MS", "HistoryCompacted", "PlatformStore"]

_LOG = logging.getLogger("ferrydock.platform")

# Limits on a whole call and on the connecting that it includes. A transaction without an answer may
# still be committed, so a shorter limit costs more reads to find out whether it was.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.7

# Limit on a call that confirms known data: a transaction without writes, and a watch that does not
# wait. Dropping it resolves nothing, and a store that answers all calls later than a short limit
# would seem to answer none. An older answer no longer confirms the configuration for requests with
# keys (`configuration.max_keyed_age_s` of the known sites: 4.6 s).
CONFIRMATION_TIMEOUT_S = 4.5

# A call that takes longer is logged, unless it is a watch: a slow store answers, a silent one not.
SLOW_CALL_S = 0.5

# Renewals of a lease reuse the connection: they come every 0.5 s.
IDLE_CONNECTION_TIMEOUT_S = 10.0

# How long a watch call waits at the store for a change, and how much later than that the answer may
# arrive. The wait is long because each watch is a call: with 1 s instead of 20 s a calm day takes
# 891 calls instead of 539. Other calls reveal much sooner that a watch is never answered
# (`ferrydock.freshness`).
MAX_WATCH_MS = 20000
WATCH_TIMEOUT_MARGIN_S = 1.5

# Bytes of an answer's body, and pages of a range. Far above the complete target list of a large
# site, a configuration of some hundred routes and the changes of the store's history.
MAX_ANSWER_BYTES = 16 * 2**20
MAX_RANGE_PAGES = 64

# Key of the operators' configuration, and prefix of the keys of the workers.
CONFIGURATION_KEY = "op/config"
TARGETS_PREFIX = "servers/"

# Prefix of the key that exists while operators want no requests sent to the workers of a zone.
EVACUATION_PREFIX = "op/evacuate/"

# HTTP statuses of the store's protocol.
OK = 200
FIRST_NON_SUCCESS_STATUS = 300
FIRST_REFUSAL_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
NOT_FOUND = 404
PRECONDITION_FAILED = 412  # a condition of a transaction does not hold
GONE = 410  # the store has compacted the changes that a watch asks for

# Statuses of a call that the store rejected without carrying it out.
_REJECTED_STATUSES = (429, 503)
_CALL_OPTIONS: dict[str, Any] = {
    "headers": {"Content-Type": "application/json"},
    "allow_redirects": False,
}

# Header of the store's answers with its era: how often the store was restored from an older copy. A
# store that does not send the header has a single era.
ERA_HEADER = "Store-Era"

# Digits of an era: more are no number of restorations.
MAX_ERA_DIGITS = 9

Decoded = TypeVar("Decoded")


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store: HTTP status, decoded JSON body and era of the store."""

    status: int
    fields: object
    era: int


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The store has compacted the requested changes, or they belong to another era."""


class PlatformStore:
    """Client of the platform's store protocol.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.

    Attributes
    ----------
    calls : dict of str to int
        Number of calls so far by ``{kind}_{result}``: kind is the first part of the path, result is
        the HTTP status, ``unreached`` (no connection) or ``unanswered``.
    call_counts : CallCounts
        Number of calls so far by kind, caller and state of the daemon.
    era : int
        Newest era of the store that an answer or another daemon has reported.
    """

    __slots__ = ("_base", "_session", "_single_use_session", "call_counts", "calls", "era")

    def __init__(self, address: str):
        self._base = f"http://{address}/v1"
        self._session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None
        self.calls: dict[str, int] = {}
        self.call_counts = CallCounts()
        self.era = 0

    # Methods of the port ----------------------------------------------------------------------

    async def range(self, key: str, range_end: str = "") -> RangeDone | Unavailable:
        """Read one key, or with `range_end` all keys that begin with `key`."""
        if range_end:
            return await self._read_pages(key)
        answer = await self._call("GET", "/kv-key", {"key": key}, key=key)
        if isinstance(answer, Unavailable | Unknown):
            return Unavailable(answer.reason)
        decode = decode_missing_key if answer.status == NOT_FOUND else decode_key
        if answer.status not in (OK, NOT_FOUND):
            return _unexpected_status(answer)
        return _decode(decode, answer, answer.era)

    async def _read_pages(self, prefix: str) -> RangeDone | Unavailable:
        """Read all pages of the keys with a prefix.

        The result has the revision of the first page: a watch from there also yields the changes
        that were made while later pages were read.
        """
        items: list[KeyValue] = []
        first: RangePage | None = None
        for _ in range(MAX_RANGE_PAGES):
            after_key = items[-1].key if items else None
            answer = await self._call("GET", "/kv-range", page_query(prefix, after_key), key=prefix)
            if isinstance(answer, Unavailable | Unknown):
                return Unavailable(answer.reason)
            if answer.status != OK:
                return _unexpected_status(answer)
            page = _decode(decode_page, answer, answer.era)
            if isinstance(page, Unavailable):
                return page
            first = first or page
            if page.era != first.era:
                return Unavailable("the store came back older between two pages")
            if after_key is not None and page.items and page.items[-1].key <= after_key:
                return Unavailable(f"the page after {after_key!r} ends before it")
            items += page.items
            if page.is_last:
                return RangeDone(tuple(items), first.revision, first.era)
        return Unavailable(f"more than {MAX_RANGE_PAGES} pages of {prefix!r}")

    async def transact(
        self, txn: Txn, is_on_new_connection: bool = False
    ) -> TxnDone | Unavailable | Unknown:
        """Commit writes if their conditions hold.

        After `Unknown` the transaction may have been committed, or may be committed later.
        """
        if txn.era is not None and txn.era < self.era:
            return Unavailable("the conditions were read in an older era of the store")
        answer = await self._call(
            "POST",
            "/kv-txn",
            body=encode_txn(txn),
            timeout_s=CALL_TIMEOUT_S if txn.success else CONFIRMATION_TIMEOUT_S,
            key=_key_of(txn),
            is_on_new_connection=is_on_new_connection,
        )
        if isinstance(answer, Unavailable | Unknown):
            return answer
        if answer.status == OK:
            revision = _decode(decode_committed, answer)
            if isinstance(revision, Unavailable):
                return Unknown(revision.reason)
            if txn.era is not None and txn.era != answer.era:
                return Unknown("done in an era in which its conditions may hold for other values")
            return TxnDone(True, revision, era=answer.era)
        if answer.status == PRECONDITION_FAILED:
            return _decode(decode_refused, answer, txn.failure_reads, answer.era)
        return _unexpected_write_status(answer)

    async def grant_lease(self, ttl_s: float) -> LeaseGranted | Unavailable | Unknown:
        """Request a lease with a time to live of `ttl_s` seconds."""
        answer = await self._call("POST", "/kv-lease", body=encode_lease(ttl_s))
        if isinstance(answer, Unavailable | Unknown):
            return answer
        if answer.status != OK:
            return _unexpected_write_status(answer)
        return _decode(decode_lease, answer, answer.era)

    async def renew_lease(self, lease_id: int) -> LeaseGranted | LeaseLost | Unavailable:
        """Renew a lease for its full time to live."""
        answer = await self._call("POST", f"/kv-keep/{lease_id}")
        if isinstance(answer, Unavailable | Unknown):
            return Unavailable(answer.reason)
        if answer.status == NOT_FOUND:
            return LeaseLost(lease_id)
        if answer.status != OK:
            return _unexpected_status(answer)
        ttl_s = _decode(decode_kept, answer)
        if isinstance(ttl_s, Unavailable):
            return ttl_s
        return LeaseGranted(lease_id, ttl_s, answer.era)

    async def revoke_lease(self, lease_id: int) -> LeaseLost | Unavailable | Unknown:
        """Revoke a lease."""
        answer = await self._call("DELETE", f"/kv-lease-end/{lease_id}")
        if isinstance(answer, Unavailable | Unknown):
            return answer
        if answer.status < FIRST_NON_SUCCESS_STATUS or answer.status == NOT_FOUND:
            return LeaseLost(lease_id)
        return _unexpected_write_status(answer)

    async def watch(self, prefix: str, after: Position) -> AsyncGenerator[WatchBatch, None]:
        """Yield the changes under `prefix` after a position.

        Ends when a call fails or the history is compacted; the caller then reads the keys again.
        """
        position = after
        while True:
            outcome = await self.watch_once(prefix, position)
            if not isinstance(outcome, WatchBatch):
                why = outcome.reason if isinstance(outcome, Unavailable) else "history_gone"
                log_event(_LOG, logging.INFO, "watch_ended", prefix=prefix, why=why)
                return
            position = outcome.position
            if outcome.changes:
                yield outcome

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._session, self._single_use_session):
            if session is not None:
                await session.close()

    # For the other modules of the adapter only ------------------------------------------------

    async def watch_once(
        self,
        prefix: str,
        since: Position,
        wait_ms: int = MAX_WATCH_MS,
        is_on_new_connection: bool = False,
    ) -> WatchBatch | HistoryCompacted | Unavailable:
        """Make one watch call: wait at most `wait_ms` for changes under `prefix` after a position.

        With `wait_ms` 0 the store answers at once. A position of an older era yields
        `HistoryCompacted`: in another era the same revision stands for another state, so the
        changes after it do not apply to what the caller has read.
        """
        if since.era < self.era:
            return HistoryCompacted()
        query = watch_query(prefix, since.revision, wait_ms)
        timeout_s = wait_ms / 1000 + WATCH_TIMEOUT_MARGIN_S if wait_ms else CONFIRMATION_TIMEOUT_S
        answer = await self._call(
            "GET",
            "/kv-watch",
            query,
            timeout_s=timeout_s,
            key=prefix,
            is_on_new_connection=is_on_new_connection,
        )
        if isinstance(answer, Unavailable | Unknown):
            return Unavailable(answer.reason)
        if answer.status == GONE or answer.era != since.era:
            return HistoryCompacted()
        if answer.status != OK:
            return _unexpected_status(answer)
        return _decode(decode_watch, answer, answer.era)

    # Calls ------------------------------------------------------------------------------------

    def _open_session(self, is_on_new_connection: bool = False) -> aiohttp.ClientSession:
        if is_on_new_connection:
            if self._single_use_session is None:
                self._single_use_session = open_session(CONNECT_TIMEOUT_S, idle_timeout_s=None)
            return self._single_use_session
        if self._session is None:
            self._session = open_session(
                CONNECT_TIMEOUT_S, idle_timeout_s=IDLE_CONNECTION_TIMEOUT_S
            )
        return self._session

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        body: dict | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        key: str = "",
        is_on_new_connection: bool = False,
    ) -> _Answer | Unavailable | Unknown:
        """Make one HTTP call to the store; `key` is the key that it concerns, if any.

        On a new connection if so asked: the open ones may be dead without a sign of it.

        Returns `Unavailable` if the store did not carry it out, `Unknown` if it may have done so.
        """
        data = orjson.dumps(body) if body is not None else None
        kind = path.split("/")[1]
        began_s = asyncio.get_running_loop().time()
        self.call_counts.count(kind, _caller(kind, key, self.call_counts.own_hall))
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._open_session(is_on_new_connection).request(
                    method, self._base + path, params=query, data=data, **_CALL_OPTIONS
                ) as response,
            ):
                encoded = await read_body(response, MAX_ANSWER_BYTES)
                fields = orjson.loads(encoded) if encoded else {}
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._count_call(kind, "unreached", began_s)
            return Unavailable(f"the store was not reached: {type(error).__name__}")
        except (
            TimeoutError,
            aiohttp.ClientError,
            ConnectionError,
            orjson.JSONDecodeError,
        ) as error:
            if isinstance(error, BodyTooLarge):
                log_event(
                    _LOG,
                    logging.ERROR,
                    "store_answer_too_large",
                    kind=kind,
                    max_bytes=MAX_ANSWER_BYTES,
                )
            self._count_call(kind, "unanswered", began_s)
            return Unknown(f"no answer of the store: {type(error).__name__}")
        self._count_call(kind, str(response.status), began_s)
        era = self._read_era(response.headers.get(ERA_HEADER))
        if era < self.era:
            return Unknown("an answer of an older era of the store")
        if response.status in _REJECTED_STATUSES:
            return Unavailable(f"the store answered {response.status}")
        return _Answer(response.status, fields, era)

    def raise_era(self, era: int) -> None:
        """Raise `era` to one that another daemon has seen; answers of older eras are ignored."""
        self.era = max(self.era, era)

    def _read_era(self, header_value: str | None) -> int:
        """Return the era in an answer's header and raise `era` to it.

        A missing or malformed header counts as the newest known era.
        """
        if header_value is None:
            return self.era
        if not header_value.isdecimal() or len(header_value) > MAX_ERA_DIGITS:
            value = header_value[:MAX_ERA_DIGITS]
            log_event(_LOG, logging.ERROR, "store_era_unreadable", header=ERA_HEADER, value=value)
            return self.era
        era = int(header_value)
        self.raise_era(era)
        return era

    def _count_call(self, kind: str, result: str, began_s: float) -> None:
        """Count a call that began at loop time `began_s`, and log it if it was slow."""
        name = f"{kind}_{result}"
        self.calls[name] = self.calls.get(name, 0) + 1
        took_s = asyncio.get_running_loop().time() - began_s
        if took_s >= SLOW_CALL_S and kind != "kv-watch":
            log_event(
                _LOG,
                logging.WARNING,
                "store_call_slow",
                kind=kind,
                result=result,
                took_ms=took_s * 1000,
            )


def _key_of(txn: Txn) -> str:
    """Return the key of a transaction's first condition, by which its caller is known."""
    return txn.compares[0].key if txn.compares else ""


def _caller(kind: str, key: str, own_hall: str) -> str:
    """Return which part of a daemon makes a call of a kind that concerns a key."""
    if key == CONFIGURATION_KEY or key.startswith(EVACUATION_PREFIX):
        return "configuration"
    if key.startswith(TARGETS_PREFIX):
        return "targets"
    if key.endswith("/placement"):
        return "placement"
    if kind not in ("kv-key", "kv-watch"):
        return "lease"
    return "own_leadership" if key == controller_key(own_hall) else "remote_leadership"


def _unexpected_status(answer: _Answer) -> Unavailable:
    return Unavailable(f"the store answered {answer.status}")


def _unexpected_write_status(answer: _Answer) -> Unavailable | Unknown:
    """Return the outcome of a writing call with a status that the protocol has not for it.

    A refusal (4xx) means that nothing was done; any other status does not say so.
    """
    if FIRST_REFUSAL_STATUS <= answer.status < FIRST_SERVER_ERROR_STATUS:
        return _unexpected_status(answer)
    return Unknown(f"the store answered {answer.status}")


def _decode(decode: Callable[..., Decoded], answer: _Answer, *arguments) -> Decoded | Unavailable:
    """Decode the body of an answer; log a body that cannot be decoded and return `Unavailable`."""
    try:
        return decode(answer.fields, *arguments)
    except ValueError as error:  # BadMessage, or a value that is not base64
        log_event(
            _LOG,
            logging.ERROR,
            "store_answer_unreadable",
            message=decode.__name__,
            status=answer.status,
            why=str(error),
        )
        return Unavailable(f"the store's answer cannot be decoded: {error}")
