"""At-most-once execution under seeded crashes, lost answers, duplicates and store outages."""

import argparse
import asyncio
import random
import sys

from ferrydock.clock import ManualClock
from ferrydock.requests import (
    GROUP_WAIT_S,
    RELAYED_WAIT_S,
    Claim,
    ClaimEnd,
    ClaimStore,
    ClaimUnwritten,
    ClaimWriter,
)
from ferrydock.standins import FaultyStore
from ferrydock.store import MemoryStore

from ._report import print_check, print_row

NAME = "claims"
ATTEMPTS_PER_HISTORY = 10
KEY_COUNT = 3
CONCURRENT_HISTORIES = 250


class History:
    """One seeded history of requests, with its own count of actual executions by key."""

    def __init__(self, seed: int):
        self.source = random.Random(seed)
        self.memory = MemoryStore(ManualClock())
        self.runs: dict[str, int] = {}
        self.doubled = 0
        self.false_not_run = 0
        self.wrong_answers = 0
        self.answered = 0

    async def play(self) -> None:
        """Send requests for a few keys repeatedly, while daemons and their store calls fail."""
        for _ in range(ATTEMPTS_PER_HISTORY):
            await self._attempt(f"k{self.source.randrange(KEY_COUNT)}")
        self.doubled = sum(count > 1 for count in self.runs.values())

    async def _attempt(self, key: str) -> None:
        source = self.source
        store = FaultyStore(self.memory)
        store.down = source.random() < 0.1
        store.lose_answers = source.choice((0, 0, 1))
        store.lose_writes = source.choice((0, 0, 0, 1, 9))
        daemon = ClaimStore(store, ClaimWriter(store), ManualClock(), 3600.0, "d")
        runs_before = self.runs.get(key, 0)
        found = await daemon.open("team", key, 0.0)
        outcome_draw = source.random()
        if isinstance(found, Claim):
            if outcome_draw > 0.15:
                self.runs[key] = runs_before + 1
            if outcome_draw > 0.3:
                store.lose_writes = 0
                await daemon.end(found, 200, "text/plain", key.encode())
        elif isinstance(found, ClaimEnd):
            self.answered += 1
            self.wrong_answers += found.body != key.encode()
        elif isinstance(found, ClaimUnwritten):
            self.false_not_run += self.runs.get(key, 0) != runs_before
        if source.random() < 0.5:
            await store.deliver_late()


async def play_all(count: int) -> dict[str, int]:
    """Run `count` seeded histories; return the totals of their counters."""
    total = {"doubled": 0, "false_not_run": 0, "wrong_answers": 0, "answered": 0, "runs": 0}
    for start in range(0, count, CONCURRENT_HISTORIES):
        histories = [
            History(seed) for seed in range(start, min(count, start + CONCURRENT_HISTORIES))
        ]
        await asyncio.gather(*(history.play() for history in histories))
        for history in histories:
            total["runs"] += sum(history.runs.values())
            for name in ("doubled", "false_not_run", "wrong_answers", "answered"):
                total[name] += getattr(history, name)
    return total


async def writes_per_thousand(rate_per_s: float, seconds: float, wait_s: float) -> float:
    """Return store transactions per thousand claims that reach one writer at a steady rate."""
    memory = MemoryStore()
    store = FaultyStore(memory)
    writer = ClaimWriter(store, wait_s)
    claims = ClaimStore(store, writer, memory.clock, 3600.0, "d")
    count = max(20, int(rate_per_s * seconds))

    async def run_claim(number: int) -> None:
        await asyncio.sleep(number / rate_per_s)
        claim = await claims.open("team", f"k{number}", memory.clock.now_s() + 5)
        await claims.end(claim, 200, "text/plain", b"x")

    await asyncio.gather(*(run_claim(number) for number in range(count)))
    return writer.transaction_count / count * 1000


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer histories, no slow rate")
    arguments = parser.parse_args()
    count = 100 if arguments.quick else 10000
    rates_per_s = (10, 100) if arguments.quick else (1, 10, 100)
    total = asyncio.run(play_all(count))
    print_row(NAME, histories=count, **total)
    for rate_per_s in rates_per_s:
        direct = asyncio.run(writes_per_thousand(rate_per_s, 3.0, GROUP_WAIT_S))
        relayed = asyncio.run(writes_per_thousand(rate_per_s, 3.0, RELAYED_WAIT_S))
        print_row(
            NAME,
            claims_per_s=rate_per_s,
            writes_per_thousand=direct,
            writes_per_thousand_relayed=relayed,
        )
    for figure in ("doubled", "false_not_run", "wrong_answers"):
        print_check(NAME, figure, total[figure], "==0")
    return 0


if __name__ == "__main__":
    sys.exit(main())
