"""Entries and reports of workers, sound and of another writer: every field decodes to its type."""

import msgspec
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...emulator import field_paths, replace_field
from ...outcomes import Fault
from ...targets import Membership, ReplicaState, Target, TargetReport
from ...typed_json import MAX_PROBLEM_CHARS
from .._worker_messages import decode_report, decode_target

PLAIN = {
    "service": "files",
    "address": "10.1.64.43:8120",
    "zone": "hall-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 3,
    "cold-remaining-ms": 0,
}
MODEL = PLAIN | {
    "service": "engines",
    "phase": "colocated",
    "models": [{"name": "large", "version": 1, "adapters": []}],
    "domain": "hall-a-d0",
    "staged": ["large"],
    "group": {"name": "g1", "epoch": 103, "rank": 0, "state": "open"},
}
REPORT = {
    "phase": "colocated",
    "models": [],
    "utilization": False,
    "sequence": 2,
    "waiting": 1,
    "group": MODEL["group"],
    "staged": ["large"],
}

JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)


def has_declared_types(decoded):
    """Return whether each field of a decoded message has its declared type."""
    fields = msgspec.to_builtins(decoded)
    return msgspec.convert(fields, type(decoded)) == decoded


@given(st.binary() | JSON.map(orjson.dumps), st.text())
def test_any_bytes_are_a_target_of_declared_types_or_none(value, target_id):
    """Failure: a list as the name of a model ended each daemon that led a hall."""
    decoded = decode_target(target_id, value)
    assert isinstance(decoded, Fault) or has_declared_types(decoded)


@given(st.sampled_from(field_paths(MODEL)), JSON)
def test_an_entry_with_any_field_of_any_value_is_a_target_of_declared_types_or_none(path, new):
    """Failure: a text in place of a group kept each daemon from ever reading the list."""
    value = orjson.dumps(replace_field(MODEL, path, new))
    decoded = decode_target("i-1", value)
    if isinstance(decoded, Fault):
        assert len(str(decoded)) <= 2 * MAX_PROBLEM_CHARS + 2
    else:
        assert has_declared_types(decoded)


@given(st.sampled_from(field_paths(REPORT)), JSON)
def test_a_report_with_any_field_of_any_value_has_declared_types_or_is_none(path, new):
    decoded = decode_report(orjson.dumps(replace_field(REPORT, path, new)))
    assert isinstance(decoded, Fault) or has_declared_types(decoded)


def test_sound_entries_are_decoded():
    assert decode_target("i-1", orjson.dumps(PLAIN)) == Target(
        "i-1", "files", "10.1.64.43:8120", "hall-a", 8, age_mark=(0, 3)
    )
    membership = Membership("g1", 103, 0, ReplicaState.OPEN)
    assert decode_target("i-2", orjson.dumps(MODEL | {"born": 1780000000000})) == Target(
        "i-2",
        "engines",
        "10.1.64.43:8120",
        "hall-a",
        8,
        domain="hall-a-d0",
        staged=("large",),
        models=("large",),
        membership=membership,
        age_mark=(1780000000000, 3),
    )


@pytest.mark.parametrize(
    "changes, expected",
    [
        ({"state": "draining"}, {"draining": True}),
        ({"group": None}, {"membership": None}),
        ({"models": [], "staged": []}, {"models": (), "staged": ()}),
        ({"cold-remaining-ms": 1500}, {"cold_for_s": 1.5}),
        ({"cold-remaining-ms": 1500.5}, {"cold_for_s": 1.5005}),
        ({"slots": 8.0}, {"slots": 8}),
        ({"unnamed": [{}]}, {}),
    ],
)
def test_sound_entries_may_differ(changes, expected):
    usual = decode_target("i-1", orjson.dumps(MODEL))
    decoded = decode_target("i-1", orjson.dumps(MODEL | changes))
    assert {name: getattr(decoded, name) for name in expected} == expected
    if not expected:
        assert decoded == usual


@pytest.mark.parametrize("name", [n for n in MODEL if n != "phase"])
def test_an_entry_without_a_field_names_no_target(name):
    entry = {n: value for n, value in MODEL.items() if n != name}
    decoded = decode_target("i-1", orjson.dumps(entry))
    assert isinstance(decoded, Fault) and f"`{name}`" in decoded.problem


@pytest.mark.parametrize(
    "changes, place",
    [
        ({"models": [{"name": ["large"], "version": 1, "adapters": []}]}, "models[0].name"),
        ({"models": ["large"]}, "models[0]"),
        ({"group": "g1"}, "group"),
        ({"group": {}}, "group"),
        ({"group": MODEL["group"] | {"state": "resting"}}, "group.state"),
        ({"group": MODEL["group"] | {"epoch": "103"}}, "group.epoch"),
        ({"state": "resting"}, "state"),
        ({"slots": True}, "slots"),
        ({"slots": 1e300}, "slots"),
        ({"slots": -3}, "slots"),
        ({"born": None}, "born"),
        ({"domain": ""}, "domain"),
        ({"cold-remaining-ms": "0"}, "cold-remaining-ms"),
        ({"service": "s" * 1000}, "service"),
        ({"address": "somewhere"}, "address"),
        ({"address": "10.1.64.43"}, "address"),
        ({"address": "10.1.64.256:80"}, "address"),
        ({"address": "10.1.64.43:0"}, "address"),
        ({"address": "10.1.64.43:65536"}, "address"),
        ({"address": "10.1.64.43:80\n"}, "address"),
        ({"address": "10.1.64.43:80/x"}, "address"),
    ],
)
def test_a_field_of_another_type_is_named(changes, place):
    assert decode_target("i-1", orjson.dumps(MODEL | changes)).place == place


@pytest.mark.parametrize("target_id", ["", "a b", "a\r\nX-Tenant: b", "é", "\x7f", "i" * 201])
def test_an_id_that_cannot_stand_in_a_header_names_no_target(target_id):
    assert decode_target(target_id, orjson.dumps(PLAIN)).place == "key"


@pytest.mark.parametrize(
    "value", [b"", b"\xff\xfe", b"{", b"null", b"7", b"[]", b'{"x":' + b"[" * 100_000]
)
def test_bytes_that_cannot_be_read_name_no_target(value):
    assert isinstance(decode_target("i-1", value), Fault)


def test_a_report_without_the_number_of_orders_is_none():
    assert isinstance(decode_report(b'{"utilization":false}'), Fault)
    assert decode_report(orjson.dumps(REPORT)) == TargetReport(
        2, "g1", 103, "open", False, ("large",)
    )
