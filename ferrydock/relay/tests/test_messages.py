"""Replies between daemons of two versions: every field of a target has its declared type."""

import orjson
import pytest

from ...targets import Membership, ReplicaState, Target
from .._messages import UpdateReply, decode_reply, encode

MEMBER = Target(
    "i-1",
    "engines",
    "127.0.0.1:80",
    "hall-a",
    8,
    staged=("large",),
    models=("large",),
    membership=Membership("g1", 103, 0, ReplicaState.OPEN),
    age_mark=(5, 3),
    cold_for_s=1.5,
)


def reply_fields():
    reply = UpdateReply(True, "x", 1, True, (MEMBER,), (), 9, 4, "", 0.5)
    return orjson.loads(encode(reply))


def test_the_targets_of_a_reply_are_decoded():
    assert decode_reply(orjson.dumps(reply_fields())).entries == (MEMBER,)


@pytest.mark.parametrize(
    "name, value",
    [
        ("models", [["large"]]),
        ("hall", ["hall-a"]),
        ("address", "somewhere"),
        ("slots", "8"),
        ("membership", "g1"),
        ("age_mark", [5]),
    ],
)
def test_a_target_with_a_field_of_another_type_is_refused_from_an_older_leader(name, value):
    """Failure: a leader that does not check entries passes them on to daemons that would."""
    fields = reply_fields()
    fields["entries"][0][name] = value
    with pytest.raises(ValueError, match=name):
        decode_reply(orjson.dumps(fields))
