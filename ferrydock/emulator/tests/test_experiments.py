"""Experiment files: every fault is named with its field; drawn troubles follow from the seed."""

import pytest

from ...outcomes import Invalid
from .. import draw_troubles, free_ports, read_experiment

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


def test_troubles_follow_from_the_seed():
    first = draw_troubles(5, 20.0, ("a", "b"), 8)
    assert first == draw_troubles(5, 20.0, ("a", "b"), 8)
    assert first != draw_troubles(6, 20.0, ("a", "b"), 8)


def test_no_port_of_an_address_is_given_twice():
    ports = [port for _ in range(40) for port in free_ports(4)]
    assert len(set(ports)) == len(ports)
