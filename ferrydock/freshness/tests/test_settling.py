"""When a store that was restored from an older copy can be relied on again."""

import logging
from types import SimpleNamespace

from ...clock import ManualClock
from ...store import Position
from .. import SETTLE_S, EraSettling


def make_settling(is_first_start=False):
    return EraSettling(SimpleNamespace(era=0), ManualClock(100.0), is_first_start)


def test_a_store_without_eras_is_always_settled():
    assert make_settling().is_settled()


def test_a_new_era_settles_settle_s_after_it_is_observed(caplog):
    caplog.set_level(logging.INFO, "ferrydock")
    settling = make_settling()
    settling.store.era = 1
    assert not settling.is_settled(), "also before the era has been checked"
    settling.check_era(Position(0, 900))
    settling.clock.advance(SETTLE_S - 0.1)
    settling.check_era(Position(1, 40))
    assert not settling.is_settled()
    settling.clock.advance(0.1)
    assert settling.is_settled()
    assert len(caplog.messages) == 1
    assert "era=1 before_era=0 known_era=0 known_revision=900" in caplog.messages[0]


def test_each_further_era_has_to_settle_again():
    settling = make_settling()
    for era in (1, 2):
        settling.store.era = era
        settling.check_era(Position(era - 1, 900))
        assert not settling.is_settled()
        settling.clock.advance(SETTLE_S)
        assert settling.is_settled()


def test_only_the_first_era_at_the_first_start_of_a_site_is_settled_at_once():
    settling = make_settling(is_first_start=True)
    settling.store.era = 1
    settling.check_era(Position())
    assert settling.is_settled()
    settling.store.era = 2
    settling.check_era(Position(1, 30))
    assert not settling.is_settled()
