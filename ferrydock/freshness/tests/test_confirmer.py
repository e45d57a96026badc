"""When the store is asked beside all other calls, and how long requests wait for it.

In virtual time; a process that stands still lets the clock jump.
"""

import asyncio

import pytest

from ...standins.fleet import LoopClock, run_virtually
from .. import Confirmer, change_budget
from .._confirmer import MAX_HOLD_AFTER_STANDSTILL_S

BUDGET = change_budget(2.0)
ANSWER_S = 0.02


class Data:
    """Data whose confirmation takes `answer_s`; None for no answer."""

    def __init__(self, answer_s=ANSWER_S):
        self.clock = LoopClock()
        self.answer_s = answer_s
        self.confirmed_s = 0.0
        self.calls = []
        self.confirmer = Confirmer(self.age_s, self.call, BUDGET, lambda failed: 0.4, self.clock)

    def age_s(self, now_s):
        return now_s - self.confirmed_s

    async def call(self, is_on_new_connection):
        began_s = self.clock.now_s()
        self.calls.append(is_on_new_connection)
        answer_s = self.answer_s(len(self.calls)) if callable(self.answer_s) else self.answer_s
        await asyncio.sleep(1.0 if answer_s is None else answer_s)
        if answer_s is not None:
            self.confirmed_s = max(self.confirmed_s, began_s)
        return answer_s is not None

    async def held(self):
        """Wait as a request does; return for how long, and the age afterwards."""
        began_s = self.clock.now_s()
        await self.confirmer.wait_until_recent()
        now_s = self.clock.now_s()
        return now_s - began_s, self.age_s(now_s)

    async def step_often(self):
        while True:
            self.confirmer.step()
            await asyncio.sleep(0.05)


def play(data, scenario):
    async def run():
        stepping = asyncio.ensure_future(data.step_often())
        await asyncio.sleep(0.1)
        await scenario()
        stepping.cancel()

    run_virtually(run())


def stand_still(seconds):
    asyncio.get_running_loop()._jumping.now_s += seconds


def test_data_is_confirmed_before_requests_wait_for_it():
    data = Data()

    async def scenario():
        for _ in range(1000):
            assert (await data.held())[0] == 0.0
            await asyncio.sleep(0.01)
        assert len(data.calls) <= 10.0 / BUDGET.check_after_s

    play(data, scenario)


def test_a_request_after_standing_still_waits_for_one_answer():
    data = Data()

    async def scenario():
        stand_still(3.0)
        held = await asyncio.gather(*(data.held() for _ in range(50)))
        assert all(held_s < 0.1 and age_s < 0.1 for held_s, age_s in held)
        assert data.calls == [False, True]

    play(data, scenario)


def test_a_long_stall_while_a_request_waits_begins_the_wait_anew():
    """Failure: a request of a process suspended in series was sent soon after waking."""
    data = Data(answer_s=0.2)

    async def scenario():
        stand_still(2.0)
        request = asyncio.ensure_future(data.held())
        for _ in range(2):
            await asyncio.sleep(0.12)
            stand_still(2.0)
        assert (await request)[1] < BUDGET.hold_after_s

    play(data, scenario)


def test_a_short_stall_while_a_request_waits_does_not_end_the_wait():
    """Failure: the answer lay unread in the socket, and the wait was over by the clock."""
    data = Data(answer_s=0.1)

    async def scenario():
        stand_still(3.0)
        request = asyncio.ensure_future(data.held())
        await asyncio.sleep(0.01)
        stand_still(0.4)
        assert (await request)[1] < BUDGET.hold_after_s

    play(data, scenario)


def test_late_turns_do_not_hold_a_request_for_ever():
    """Failure: each late turn began the wait and the calls anew."""
    data = Data(answer_s=None)

    async def scenario():
        stand_still(3.0)
        request = asyncio.ensure_future(data.held())
        turns = 0
        while not request.done():
            await asyncio.sleep(0.01)
            stand_still(0.6)
            turns += 1
        assert turns <= 6
        assert len(data.calls) <= 2 * turns

    play(data, scenario)


def test_a_first_call_without_an_answer_is_repeated_on_a_new_connection():
    data = Data(answer_s=lambda number: None if number == 1 else ANSWER_S)

    async def scenario():
        stand_still(3.0)
        held_s, age_s = await data.held()
        assert held_s < BUDGET.max_hold_s and age_s < 0.1
        assert data.calls == [False, True]

    play(data, scenario)


def test_the_late_answer_of_a_slow_store_counts():
    data = Data(answer_s=0.7)

    async def scenario():
        await asyncio.sleep(BUDGET.hold_after_s)
        assert (await data.held())[0] < BUDGET.max_hold_s + 0.11
        await asyncio.sleep(0.3)
        assert data.age_s(data.clock.now_s()) < 0.9

    play(data, scenario)


@pytest.mark.parametrize("answer_s", [0.4, 0.9])
def test_a_request_after_standing_still_waits_for_a_slow_store(answer_s):
    """Failure: requests were sent by a list as old as the standstill 0.3 s after waking."""
    data = Data(answer_s=answer_s)

    async def scenario():
        stand_still(3.0)
        for held_s, age_s in await asyncio.gather(*(data.held() for _ in range(5))):
            assert age_s < BUDGET.hold_after_s
            assert held_s < MAX_HOLD_AFTER_STANDSTILL_S

    play(data, scenario)


def test_an_unreachable_store_holds_requests_after_standing_still_once():
    data = Data(answer_s=None)

    async def scenario():
        stand_still(3.0)
        assert (await data.held())[0] < MAX_HOLD_AFTER_STANDSTILL_S + 0.11
        assert (await data.held())[0] == 0.0

    play(data, scenario)


def test_an_unreachable_store_holds_requests_once_and_is_asked_on_new_connections():
    data = Data(answer_s=None)

    async def scenario():
        stand_still(3.0)
        await data.held()
        for _ in range(500):
            assert (await data.held())[0] == 0.0
            await asyncio.sleep(0.01)
        assert data.calls[:2] == [False, True]
        assert all(data.calls[2:])

    play(data, scenario)
