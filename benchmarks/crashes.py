"""Cost to a daemon of the history of requests that crash their targets.

Per request, by size of its body: processor time to compute its identity and to check whether it is
refused, with an empty history, a full one, and one full of refused requests. Without a history the
cost is 0. Per record: memory. Per crash of targets: bytes and seconds to update a peer.

On one machine with 8 shared cores:

    body of 0.1, 1, 10, 256 kB      3, 4 to 6, 18 to 20, 390 to 410 us each; on a busy machine
                                    5, 7, 24 to 28, 590 to 610 us
    record, one crash and eight     0.56, 2.4 kB
    200 targets with 9 requests     4 messages, 0.39 MB in all, 47 ms
    one request, three crashes      1 message, 0.5 kB
"""

import argparse
import sys
import time
import timeit
import tracemalloc
from dataclasses import asdict

import orjson

from ferrydock.clock import SystemClock
from ferrydock.crashes import CrashExchange, CrashHistory, request_identity
from ferrydock.crashes._history import MAX_CRASHES_PER_REQUEST, MAX_REQUESTS

from ._report import print_check, print_row

NAME = "crashes"
BODY_BYTES = (100, 1000, 10_000, 262_144)

# Maximum cost added to a request with a body of 1 kB: 0.02 of the 0.58 ms of processor time that a
# short request takes (docs/CAPACITY.md).
MAX_ADDED_US = 10.0

# Number of repeats, of which the fastest counts: other processes that share a core or its caches
# slow down some repeats and speed up none.
REPEATS = 50

# Maximum memory of a full history, of the 128 MB that a daemon may use in total.
MAX_HISTORY_MB = 8.0


class IgnoringListener:
    """A listener of the history that ignores all notifications."""

    def refusal_started(self, identity, crashes, for_s):
        """Do nothing."""

    def refusal_ended(self, identity, why):
        """Do nothing."""


def history_of(requests: int, crashes: int) -> CrashHistory:
    """Return a history in which each request has `crashes` consecutive crashes."""
    clock = SystemClock()
    history = CrashHistory(clock, IgnoringListener())
    now_s = clock.now_s()
    for number in range(requests):
        identity = request_identity("POST", "h", "/a/x", "team", b"%d" % number)
        for crash in range(crashes):
            began_s = now_s - 2.0 * crashes + 2.0 * crash
            history.note_crash(identity, f"i-{number:08x}{crash}", began_s, began_s + 0.1)
    return history


def microseconds_each(history: CrashHistory, body: bytes, rounds: int) -> float:
    """Return the processor microseconds to identify one request and check it, least of `REPEATS`.

    Parameters
    ----------
    rounds : int
        Number of requests in each repeat.
    """

    def check_requests() -> None:
        for _ in range(rounds):
            history.admit(request_identity("POST", "site.example", "/write/x", "acme", body))

    repeats_s = timeit.repeat(check_requests, timer=time.process_time, repeat=REPEATS, number=1)
    return min(repeats_s) / rounds * 1e6


def bytes_of_record(crashes: int, requests: int) -> float:
    """Return the bytes of memory of a record with `crashes` crashes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    history = history_of(requests, crashes)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / history.record_count


def update_peer(history: CrashHistory) -> tuple[int, int, float]:
    """Return the messages, bytes and seconds to copy all records of a history to a peer."""
    peer = CrashExchange(CrashHistory(SystemClock(), IgnoringListener()))
    own = CrashExchange(history)
    messages, size = 0, 0
    began_s = time.perf_counter()
    while peer.history.record_count < history.record_count:
        request = own.request_update("peer")
        size += len(orjson.dumps(asdict(request)))
        messages += 1
        peer.merge_request(request)
        own.merge_reply("peer", request, peer.reply_update(request))
    return messages, size, time.perf_counter() - began_s


def main() -> int:
    """Print the costs; return 1 if one exceeds its maximum."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer rounds and records")
    quick = parser.parse_args().quick
    rounds, requests = (200, 100) if quick else (5000, MAX_REQUESTS)
    histories = {
        "nothing": history_of(0, 0),
        "suspected": history_of(requests, 1),
        "refused": history_of(100, 3),
    }
    all_met = True
    for known, history in histories.items():
        for size in BODY_BYTES:
            each_us = microseconds_each(history, b"x" * size, max(20, rounds * 100 // size))
            print_row(NAME, known=known, body_bytes=size, before_us=0, added_us=each_us)
            if known == "nothing" and size == BODY_BYTES[1]:
                all_met &= print_check(NAME, "added_us", each_us, f"<={MAX_ADDED_US}")
    for crashes in (1, MAX_CRASHES_PER_REQUEST):
        each_bytes = bytes_of_record(crashes, 100)
        print_row(NAME, crashes=crashes, record_bytes=each_bytes)
    full_mb = each_bytes * MAX_REQUESTS / 1e6
    all_met &= print_check(NAME, "full_history_mb", full_mb, f"<={MAX_HISTORY_MB}")
    messages, size, took_s = update_peer(history_of(min(requests, 1800), 1))
    print_row(
        NAME, deaths="200 targets of 9 requests", messages=messages, bytes=size, took_s=took_s
    )
    messages, size, took_s = update_peer(history_of(1, 3))
    print_row(NAME, deaths="one request, 3 crashes", messages=messages, bytes=size, took_s=took_s)
    return 0 if all_met else 1


if __name__ == "__main__":
    sys.exit(main())
