"""Requests in flight when a daemon loses its links to all targets, and what it concluded before."""

import asyncio
import random

import pytest

from ...configuration import RouteKind
from ...links import PeerTunnels, TargetDialer, TargetLinks, TunnelPeers, TunnelServer
from .. import LostLinks, _lost_links
from .rig import Rig, ScriptedTarget, complete_answer, play, route, writes


async def never_answers(target, request, writer):
    await asyncio.sleep(60)


class LinkRig(Rig):
    """A gateway whose targets are silent at their first request."""

    def __init__(self, kind=RouteKind.REPEATABLE, target_count=2):
        silent = [
            ScriptedTarget(never_answers, writes(complete_answer())) for _ in range(target_count)
        ]
        super().__init__([route(kind=kind)], silent)
        self.links = TargetLinks(list, self.clock, random.Random(1))
        self.lost = LostLinks(self.forwarder.attempts, self.links)

    async def until_sent(self, count):
        async with asyncio.timeout(5):
            while sum(len(target.requests) for target in self.targets) < count:
                await asyncio.sleep(0.005)

    def lose(self):
        self.links._conclude(is_lost=True, reached=0)


def test_silent_request_is_sent_again_once_the_links_are_lost(monkeypatch):
    monkeypatch.setattr(_lost_links, "LOST_SILENT_S", 0.0)

    async def scenario():
        async with LinkRig() as rig:
            for target in rig.targets:
                target.scripts = [never_answers, writes(complete_answer())]
            asking = asyncio.ensure_future(rig.ask())
            await rig.until_sent(1)
            await rig.lost.step()
            assert not asking.done()
            rig.lose()
            other = next(target for target in rig.targets if not target.requests)
            other.scripts = [writes(complete_answer())]
            await rig.lost.step()
            assert (await asking).startswith(b"HTTP/1.1 200")

    play(scenario)


def test_silent_request_that_may_run_once_is_not_interrupted(monkeypatch):
    monkeypatch.setattr(_lost_links, "LOST_SILENT_S", 0.0)

    async def scenario():
        async with LinkRig(RouteKind.AT_MOST_ONCE) as rig:
            asking = asyncio.ensure_future(rig.ask("POST", body=b"x"))
            await rig.until_sent(1)
            rig.lose()
            await rig.lost.step()
            await asyncio.sleep(0)
            assert not asking.done()
            asking.cancel()

    play(scenario)


@pytest.mark.parametrize("silent_count", [1, 2])
def test_links_are_checked_if_all_of_several_targets_are_silent(monkeypatch, silent_count):
    monkeypatch.setattr(_lost_links, "SILENT_S", 0.0)

    async def scenario():
        async with LinkRig(target_count=silent_count) as rig:
            asking = [asyncio.ensure_future(rig.ask()) for _ in range(2 * silent_count)]
            await rig.until_sent(2 * silent_count)
            await rig.lost.step()
            assert rig.links.is_lost is (silent_count >= 2)
            for request in asking:
                request.cancel()

    play(scenario)


def test_ejections_that_the_loss_caused_are_undone():
    async def scenario():
        async with LinkRig() as rig:
            now_s = rig.clock.now_s()
            rig.loads.record_failure("t0", now_s - 1.5, eject_immediately=True)
            rig.loads.record_failure("t1", now_s - 0.2, eject_immediately=True)
            rig.lose()
            assert [rig.loads.is_ejected(name, now_s) for name in ("t0", "t1")] == [True, False]

    play(scenario)


class TargetsThatLeave:
    """Targets of another daemon, of which the first one asked for leaves while it stands still."""

    def __init__(self):
        self.left = None
        self.have_all_left = False
        self.asked = 0

    def is_listed(self, address):
        return True

    def is_backed_off(self, address):
        return False

    async def may_begin(self, address):
        self.asked += 1
        self.left = self.left or address
        return address != self.left and not self.have_all_left


class TunnelRig(LinkRig):
    """A gateway without links to its targets, and another daemon that reaches them."""

    async def __aenter__(self):
        await super().__aenter__()
        for target in self.targets:
            target.scripts = [writes(complete_answer())]
        links = TargetLinks(list, self.clock, random.Random(1))
        self.passing_on = TunnelServer(links, TargetsThatLeave(), lambda: False, self.clock)
        peers = TunnelPeers("a", "", random.Random(1))
        peers.note_caller("a", await self.passing_on.start("127.0.0.1:0"), self.clock.now_s())
        self.upstream.dialer = TargetDialer(self.links, PeerTunnels(peers, self.clock))
        self.links.is_lost = True
        return self

    async def __aexit__(self, *exc):
        await super().__aexit__(*exc)
        await self.passing_on.close()


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, RouteKind.AT_MOST_ONCE])
def test_request_that_the_other_daemon_did_not_pass_on_goes_to_another_target(kind):
    async def scenario():
        async with TunnelRig(kind) as rig:
            assert (await rig.ask("POST", body=b"x")).startswith(b"HTTP/1.1 200")
            assert sorted(len(target.requests) for target in rig.targets) == [0, 1]

    play(scenario)


def test_request_that_other_daemons_do_not_pass_on_is_tried_as_often_as_its_route_allows():
    """Failure: if the other daemon's list differed, it was asked for each target in turn."""

    async def scenario():
        async with TunnelRig(target_count=5) as rig:
            rig.passing_on.targets.have_all_left = True
            answer = await rig.ask("POST", body=b"x")
            assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
            assert rig.passing_on.targets.asked == 2

    play(scenario)


def test_body_that_was_sent_to_the_other_daemon_as_it_came_is_not_sent_in_part():
    async def scenario():
        async with TunnelRig() as rig:
            rig.gateway.memory_bytes = 0
            answer = await rig.ask("POST", body=b"x" * 2**20)
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in answer
            assert [target.requests for target in rig.targets] == [[], []]

    play(scenario)
