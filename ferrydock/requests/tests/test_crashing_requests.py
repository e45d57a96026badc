"""A model request that crashes its engines is refused after three crashes."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from ...clock import ManualClock
from ...engines import EngineControl
from ...outcomes import NotRun
from ...planned_stop import StopLimit
from .. import Answered, Failed, ModelRequest, RequestExecutor, RequestLifecycle
from .._attempt import Broken


class AdvancingClock(ManualClock):
    """A clock that advances by 10 ms at each reading."""

    def now_s(self):
        self.advance(0.01)
        return super().now_s()


class Engines:
    """Fakes of the gate and the client; the engines' processes end during a request."""

    def __init__(self, port, is_gone=True):
        self.clock = AdvancingClock(100.0)
        self.port = port
        self.sent = 0
        self.answers = False
        view = SimpleNamespace(site=SimpleNamespace(queue_wait_s=1.0))
        self.state = SimpleNamespace(
            keeper=SimpleNamespace(view=view),
            attestations=SimpleNamespace(is_complete=lambda replica, now_s: False),
        )
        self.loads = SimpleNamespace(
            note_sent=lambda *arguments: None,
            note_ended=lambda flight, now_s: None,
            note_first_token=lambda *arguments: None,
        )

    async def choose(self, request, excluded, weight, wait_s):
        head = SimpleNamespace(url=f"http://127.0.0.1:{self.port}/e{self.sent}")
        replica = SimpleNamespace(replica_id=f"r{self.sent}", generation=self.sent, head=head)
        return SimpleNamespace(replica=replica)

    async def send(self, request, attempt, relay, caller, resume, body):
        self.sent += 1
        return Answered(200, "text/plain", b"ok") if self.answers else Broken("reset")

    def assign_first_queued(self, model):
        return None

    def update_service_time(self, model, took_s):
        return None


def make_executor(engines):
    executor = RequestExecutor(engines, engines, EngineControl, random.Random(1), StopLimit())
    executor.budget.set_max_saved(1000)
    executor.budget._available = 1000
    return executor


def make_request(body=b"hi", repeatable=True):
    return ModelRequest(
        "id", "acme", "m", "/v1/completions", body, {}, False, (), 5, repeatable, "", 1e9
    )


async def run(executor, **options):
    request = make_request(**options)
    lifecycle = RequestLifecycle(request.repeatable)
    return await executor.run(request, SimpleNamespace(on_first_event=None), lifecycle, 1.0)


@pytest.fixture
def no_pause(monkeypatch):
    monkeypatch.setattr("ferrydock.requests._executor.backoff_s", lambda *arguments: 0.0)


@pytest.fixture
def closed_port():
    async def open_and_close():
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        return port

    return asyncio.run(open_and_close())


def test_a_request_is_refused_after_three_crashes_and_others_run(no_pause, closed_port):
    async def check():
        engines = Engines(closed_port)
        executor = make_executor(engines)
        outcome = await run(executor)
        assert isinstance(outcome, Failed) and outcome.reason == "crashes_targets"
        assert engines.sent == 3
        refused = await run(executor)
        assert isinstance(refused, NotRun) and refused.reason == "crashes_targets"
        assert 50 < refused.retry_after_s <= 60
        assert engines.sent == 3
        engines.answers = True
        assert not isinstance(await run(executor, body=b"other"), NotRun | Failed)
        await executor.close()

    asyncio.run(check())


def test_a_request_that_is_not_repeatable_is_refused_after_three_crashes(no_pause, closed_port):
    async def check():
        engines = Engines(closed_port)
        executor = make_executor(engines)
        for _ in range(3):
            assert isinstance(await run(executor, repeatable=False), Failed)
        assert isinstance(await run(executor, repeatable=False), NotRun)
        assert engines.sent == 3
        await executor.close()

    asyncio.run(check())


def test_a_broken_answer_of_a_running_engine_is_no_crash(no_pause):
    async def check():
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        engines = Engines(server.sockets[0].getsockname()[1])
        executor = make_executor(engines)
        for _ in range(2):
            outcome = await run(executor)
            assert isinstance(outcome, Failed) and outcome.reason == "reset"
        assert executor.crashes.record_count == 0
        server.close()
        await executor.close()

    asyncio.run(check())
