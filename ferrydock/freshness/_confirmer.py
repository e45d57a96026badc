"""Rule: when a daemon asks the store itself to confirm its data, and when requests wait for that.

Owns, in memory, the calls under way, whether requests are held, and the back-off. The calls are
made beside all others of the daemon, so no other call without an answer delays them. `ChangeBudget`
has the ages at which this happens.

Requests are held once, for the first calls after the data was last recent. If these get no answer,
the store counts as unreachable and nothing is held until the data has been confirmed again: a list
that cannot be confirmed is no reason to stop serving.
"""

import asyncio
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ._change_budget import ChangeBudget

__all__ = ["Confirmer"]

# How long the first call may be without an answer before it is repeated on a new connection, while
# it goes on: the answer of a slow store still counts.
REPEAT_AFTER_S = 0.15

# How long both calls are waited for before the attempt counts as failed. They go on until their own
# time-out, and their answers still count.
FAILED_AFTER_S = 0.5

# A pause between two turns after which the process counts as having stood still. That the store is
# unreachable, as decided before, is then void.
STOOD_STILL_S = 0.5

# Longest wait of a request after the process has stood still, as long as a call to the store may
# take. The data is then known to be too old, and nothing shows yet that the store is unreachable.
MAX_HOLD_AFTER_STANDSTILL_S = 1.0

# `MAX_COUNTED_TURN_S` after a standstill: the longer wait takes no more turns of a process that
# stands still in series.
MAX_COUNTED_TURN_AFTER_STANDSTILL_S = 0.35

# Shortest wait for an answer: a timer cannot wait for less than the resolution of the loop's clock.
MIN_WAIT_S = 0.001

# Pause between two turns of a wait for an answer, and the longest one that counts as waiting: in a
# longer one the loop did not run, and an answer that had arrived was not read.
HOLD_TURN_S = 0.05
MAX_COUNTED_TURN_S = 0.1

# How often the wait of one request begins anew because the process stood still for so long that
# its calls of before are abandoned.
MAX_RESTARTED_HOLDS = 3


class Confirmer:
    """Keeps data confirmed by calls to the store, and holds requests while it is not.

    Parameters
    ----------
    age_s : callable
        Returns the seconds since the data was last confirmed at the given local time; None while
        there is nothing to confirm.
    call : callable
        Asks the store and applies its answer; returns whether there was one. Its argument is
        whether it must use a new connection.
    budget : ChangeBudget
        Ages at which the store is asked, and how long requests wait.
    failure_pause_s : callable
        Returns the pause after the given number of consecutive failed attempts, in seconds.
    """

    __slots__ = (
        "_calls",
        "_failed_attempts",
        "_attempt_began_s",
        "_has_stood_still",
        "_is_after_standstill",
        "_is_unreachable",
        "_last_turn_s",
        "_next_attempt_s",
        "_running",
        "age_s",
        "budget",
        "call",
        "clock",
        "failure_pause_s",
    )

    def __init__(
        self,
        age_s: Callable[[float], float | None],
        call: Callable[[bool], Awaitable[bool]],
        budget: ChangeBudget,
        failure_pause_s: Callable[[int], float],
        clock: Clock,
    ):
        self.age_s = age_s
        self.call = call
        self.budget = budget
        self.failure_pause_s = failure_pause_s
        self.clock = clock
        self._running: asyncio.Task | None = None
        self._calls: set[asyncio.Task] = set()
        self._failed_attempts = 0
        self._next_attempt_s = float("-inf")
        self._attempt_began_s = float("-inf")
        self._is_unreachable = False
        self._has_stood_still = False
        self._is_after_standstill = False
        self._last_turn_s = float("inf")

    @property
    def is_under_way(self) -> bool:
        """Whether an attempt to confirm the data is under way."""
        return self._running is not None and not self._running.done()

    def step(self) -> None:
        """Ask the store if the data is due for it; called at least every `CHECK_STEP_S`.

        Raises
        ------
        Exception
            If the last attempt broke an invariant.
        """
        if self._running is not None and self._running.done():
            running, self._running = self._running, None
            running.result()
        now_s = self._note_turn()
        age_s = self.age_s(now_s)
        if age_s is None or age_s < self.budget.check_after_s:
            self._note_recent()
        else:
            self.request()

    def request(self) -> None:
        """Ask the store unless that is under way or in its back-off."""
        if not self.is_under_way and self.clock.now_s() >= self._next_attempt_s:
            self._attempt_began_s = self.clock.now_s()
            self._running = asyncio.get_running_loop().create_task(self._attempt())

    def note_store_reached(self) -> None:
        """End the back-off: another call shows that the store answers."""
        self._next_attempt_s = float("-inf")

    async def wait_until_recent(self) -> None:
        """Return once the data is recent enough for a request to begin, or cannot be confirmed.

        A request waits for `max_hold_s` at most, or longer after a standstill, in turns of the
        loop, of which a late one counts only in part. The wait begins anew, a few times, after one
        that comes so late that the store is asked anew.
        """
        held_s, turn_s, restarts = 0.0, self._note_turn(), 0
        while True:
            age_s = self.age_s(turn_s)
            if age_s is None or age_s <= self.budget.hold_after_s or self._is_unreachable:
                return
            if held_s >= self._max_hold_s() - MIN_WAIT_S:
                self._is_unreachable = True
                return
            self.request()
            if self._running is None or self._running.done():
                return  # in its back-off
            await asyncio.wait({self._running}, timeout=HOLD_TURN_S)
            before_s, turn_s = turn_s, self._note_turn()
            held_s += min(turn_s - before_s, self._max_counted_turn_s())
            is_outdated = turn_s - before_s > self.budget.check_after_s
            if is_outdated and restarts < MAX_RESTARTED_HOLDS:
                held_s, restarts = 0.0, restarts + 1

    def _max_hold_s(self) -> float:
        """Return how long a request waits; longer until the data is recent after a standstill."""
        if self._is_after_standstill:
            return max(self.budget.max_hold_s, MAX_HOLD_AFTER_STANDSTILL_S)
        return self.budget.max_hold_s

    def _max_counted_turn_s(self) -> float:
        if self._is_after_standstill:
            return MAX_COUNTED_TURN_AFTER_STANDSTILL_S
        return MAX_COUNTED_TURN_S

    def _note_turn(self) -> float:
        """Return the local time; begin anew if the process has stood still since the last turn.

        An attempt that began so long ago that its answer would be too old is abandoned.
        """
        now_s = self.clock.now_s()
        if now_s - self._last_turn_s > STOOD_STILL_S:
            self._note_recent()
            self._has_stood_still = self._is_after_standstill = True
            self._next_attempt_s = float("-inf")
            is_outdated = now_s - self._attempt_began_s > self.budget.check_after_s
            if self._running is not None and is_outdated:
                self._running.cancel()
                self._running = None
        self._last_turn_s = now_s
        return now_s

    def _note_recent(self) -> None:
        self._failed_attempts = 0
        self._is_unreachable = self._is_after_standstill = False

    async def _attempt(self) -> None:
        """Ask the store, the first time after the data was recent by two calls; note the result.

        Calls that fail after the process has stood still show nothing: their time-outs passed while
        their answers could not be read. They are made again.
        """
        is_answered = await self._call_store(is_repeated=not self._failed_attempts)
        while not is_answered and self._has_stood_still:
            is_answered = await self._call_store(is_repeated=True)
        if is_answered:
            self._failed_attempts = 0
            self._next_attempt_s = float("-inf")
            return
        self._failed_attempts += 1
        self._next_attempt_s = self.clock.now_s() + self.failure_pause_s(self._failed_attempts)

    async def _call_store(self, is_repeated: bool) -> bool:
        """Return whether a call got an answer; a second one follows if the first one has none.

        Without `is_repeated` one call is made, on a new connection, since the last ones failed. If
        the process has stood still, both are made at once: the open connections may have been
        closed meanwhile, and requests wait.
        """
        repeat_after_s, failed_after_s = REPEAT_AFTER_S, FAILED_AFTER_S
        if self._has_stood_still:
            repeat_after_s, failed_after_s = 0.0, max(FAILED_AFTER_S, self._max_hold_s())
        self._has_stood_still = False
        if not is_repeated:
            return await self._start_call(True)
        first = self._start_call(False)
        if await self._any_answered({first}, repeat_after_s):
            return True
        second = self._start_call(True)
        return await self._any_answered({first, second}, failed_after_s - repeat_after_s)

    async def _any_answered(self, calls: set[asyncio.Task], within_s: float) -> bool:
        """Return whether one of some calls gets an answer within a time, counted in turns.

        Returns early only with an answer: a call that fails at once is repeated after the same
        time.
        """
        waited_s, turn_s, pending = 0.0, self.clock.now_s(), calls
        while (remaining_s := within_s - waited_s) >= MIN_WAIT_S:
            pause_s = min(remaining_s, HOLD_TURN_S)
            if pending:
                done, pending = await asyncio.wait(
                    pending, timeout=pause_s, return_when=asyncio.FIRST_COMPLETED
                )
                if any(call.result() for call in done):
                    return True
            else:
                await asyncio.sleep(pause_s)
            before_s, turn_s = turn_s, self.clock.now_s()
            waited_s += min(turn_s - before_s, MAX_COUNTED_TURN_S)
        return False

    def _start_call(self, is_on_new_connection: bool) -> asyncio.Task:
        async def call() -> bool:
            return await self.call(is_on_new_connection)

        task = asyncio.get_running_loop().create_task(call())
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return task

    def cancel(self) -> None:
        """Cancel the calls under way."""
        for task in (*self._calls, *([self._running] if self._running is not None else [])):
            task.cancel()
