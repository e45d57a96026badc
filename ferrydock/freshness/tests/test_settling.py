"""When a store that came back older can be relied on again."""

import logging
from types import SimpleNamespace

from ...clock import ManualClock
from ...store import Position
from .. import SETTLE_S, EraSettling


def settling(is_first_start=False):
    return EraSettling(SimpleNamespace(era=0), ManualClock(100.0), is_first_start)


def test_a_store_without_eras_has_always_settled():
    assert settling().is_settled()


def test_a_new_era_settles_after_its_time_from_when_it_is_known(caplog):
    caplog.set_level(logging.INFO, "ferrydock")
    waiting = settling()
    waiting.store.era = 1
    assert not waiting.is_settled(), "also before the first look"
    waiting.look(Position(0, 900))
    waiting.clock.advance(SETTLE_S - 0.1)
    waiting.look(Position(1, 40))
    assert not waiting.is_settled()
    waiting.clock.advance(0.1)
    assert waiting.is_settled()
    assert len(caplog.messages) == 1
    assert "era=1 before_era=0 known_era=0 known_revision=900" in caplog.messages[0]


def test_a_second_return_begins_anew():
    waiting = settling()
    for era in (1, 2):
        waiting.store.era = era
        waiting.look(Position(era - 1, 900))
        assert not waiting.is_settled()
        waiting.clock.advance(SETTLE_S)
        assert waiting.is_settled()


def test_the_first_era_of_a_site_that_starts_has_settled_but_a_later_one_has_not():
    waiting = settling(is_first_start=True)
    waiting.store.era = 1
    waiting.look(Position())
    assert waiting.is_settled()
    waiting.store.era = 2
    waiting.look(Position(1, 30))
    assert not waiting.is_settled()
