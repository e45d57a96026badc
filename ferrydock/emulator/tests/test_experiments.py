"""Experiment files: every fault is named with its field; drawn troubles follow from the seed."""

import pytest

from ...outcomes import Invalid
from ...standins.fleet import LeavingArrival
from .. import (
    CONTACT_S,
    KINDS,
    draw_crashing,
    draw_eras,
    draw_leaving,
    draw_troubles,
    free_ports,
    late_arrivals,
    read_experiment,
)
from .._leaving import StoreHurt
from .._troubles import TROUBLES

GOOD = """
name = "x"
seed = 3
[load]
requests_per_s = 5
[[trouble]]
at_s = 1
kind = "rack_dead"
"""


def test_a_good_file_is_read():
    experiment = read_experiment(GOOD)
    assert experiment.troubles[0].kind == "rack_dead"
    assert experiment.load.requests_per_s == 5


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("seed = -1", "seed"),
        ("seed = 1.5", "seed"),
        ('length_s = "long"', "length_s"),
        ("halls = []", "halls"),
        ("colour = 1", "colour"),
        ("[load]\nrequests_per_s = 0", "load.requests_per_s"),
        ("[load.mix]\npaint = 1", "load.mix.paint"),
        ("[[trouble]]\nkind = 'rain'", "trouble[0].kind"),
        ("[[trouble]]\nkind = 'rack_dead'\nhall = 'nowhere'", "trouble[0].hall"),
        ("[[trouble]]\nkind = 'store_down'\nhow = 'odd'", "trouble[0].how"),
        ("[[trouble]]\nkind = 'rack_dead'\nat_s = -1", "trouble[0].at_s"),
        ("[[trouble", "file"),
    ],
)
def test_a_fault_is_named_with_its_field(text, place):
    faults = read_experiment(text)
    assert isinstance(faults, Invalid)
    assert place in [fault.place for fault in faults.faults]


def test_each_kind_of_trouble_has_one_that_plays_it():
    assert set(TROUBLES) == set(KINDS)


@pytest.mark.parametrize("draw", [draw_leaving, draw_crashing, draw_eras])
def test_series_of_troubles_follow_from_the_seed(draw):
    first = draw(5, 16.0, ("a", "b"))
    assert first == draw(5, 16.0, ("a", "b"))
    assert first != draw(6, 16.0, ("a", "b"))


def arrival(after_s, request_id="r"):
    return LeavingArrival(request_id, "t", 100.0, after_s)


def test_an_arrival_at_a_leaving_target_is_late_beyond_the_bound_from_a_daemon_that_is_well():
    arrivals = [arrival(1.99), arrival(2.01), arrival(9.0, "of a hurt daemon")]
    late = late_arrivals(arrivals, lambda request_id, from_s, to_s: request_id == "r")
    assert late == [arrivals[1]]


def test_a_daemon_is_judged_from_before_the_targets_word_on():
    asked = []
    late_arrivals([arrival(2.5)], lambda *about: asked.append(about))
    assert asked == [("r", 100.0 - 2.5 - CONTACT_S, 100.0)]


@pytest.mark.parametrize(
    ("daemon", "from_s", "to_s", "is_touched"),
    [("a", 0.0, 4.9, False), ("a", 0.0, 5.0, True), ("a", 7.1, 9.0, False), ("b", 0.0, 9.0, False)],
)
def test_trouble_of_the_store_concerns_those_whose_calls_it_meets(daemon, from_s, to_s, is_touched):
    hurt = StoreHurt(5.0, 7.0, frozenset("a"))
    assert hurt.touches(daemon, from_s, to_s) == is_touched


def test_troubles_follow_from_the_seed():
    first = draw_troubles(5, 20.0, ("a", "b"), 8)
    assert first == draw_troubles(5, 20.0, ("a", "b"), 8)
    assert first != draw_troubles(6, 20.0, ("a", "b"), 8)


def test_no_port_of_an_address_is_given_twice():
    ports = [port for _ in range(40) for port in free_ports(4)]
    assert len(set(ports)) == len(ports)
