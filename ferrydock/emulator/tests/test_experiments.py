"""Experiment files, reproducible drawing of troubles, late arrivals and free ports."""

import pytest

from ...outcomes import Invalid
from ...standins.fleet import LeavingArrival
from .. import (
    CONTACT_S,
    KINDS,
    draw_crashing,
    draw_eras,
    draw_foreign,
    draw_leaving,
    draw_troubles,
    free_ports,
    late_leaving_arrivals,
    read_experiment,
)
from .._leaving import StoreDisturbance
from .._troubles import TROUBLES

pytestmark = pytest.mark.processes

GOOD = """
name = "x"
seed = 3
[load]
requests_per_s = 5
[[trouble]]
at_s = 1
kind = "rack_dead"
"""


def test_a_valid_file_is_parsed():
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
def test_an_invalid_value_is_reported_with_its_field(text, place):
    faults = read_experiment(text)
    assert isinstance(faults, Invalid)
    assert place in [fault.place for fault in faults.faults]


def test_each_kind_of_trouble_has_a_registered_function():
    assert set(TROUBLES) == set(KINDS)


@pytest.mark.parametrize("draw", [draw_leaving, draw_crashing, draw_eras, draw_foreign])
def test_drawn_series_of_troubles_are_reproducible_from_the_seed(draw):
    first = draw(5, 16.0, ("a", "b"))
    assert first == draw(5, 16.0, ("a", "b"))
    assert first != draw(6, 16.0, ("a", "b"))


def arrival(after_s, request_id="r"):
    return LeavingArrival(request_id, "t", 100.0, after_s)


def test_only_arrivals_after_the_bound_from_undisturbed_daemons_are_late():
    arrivals = [arrival(1.99), arrival(2.01), arrival(9.0, "of a hurt daemon")]
    late = late_leaving_arrivals(arrivals, lambda request_id, from_s, to_s: request_id == "r")
    assert late == [arrivals[1]]


def test_a_daemon_must_be_undisturbed_from_contact_s_before_the_target_left():
    checked = []
    late_leaving_arrivals([arrival(2.5)], lambda *about: checked.append(about))
    assert checked == [("r", 100.0 - 2.5 - CONTACT_S, 100.0)]


@pytest.mark.parametrize(
    ("daemon", "from_s", "to_s", "is_affected"),
    [("a", 0.0, 4.9, False), ("a", 0.0, 5.0, True), ("a", 7.1, 9.0, False), ("b", 0.0, 9.0, False)],
)
def test_a_store_disturbance_affects_only_its_daemons_during_its_time(
    daemon, from_s, to_s, is_affected
):
    disturbance = StoreDisturbance(5.0, 7.0, frozenset("a"))
    assert disturbance.affects(daemon, from_s, to_s) == is_affected


def test_drawn_troubles_are_reproducible_from_the_seed():
    first = draw_troubles(5, 20.0, ("a", "b"), 8)
    assert first == draw_troubles(5, 20.0, ("a", "b"), 8)
    assert first != draw_troubles(6, 20.0, ("a", "b"), 8)


def test_free_ports_returns_no_port_twice():
    ports = [port for _ in range(40) for port in free_ports(4)]
    assert len(set(ports)) == len(ports)
