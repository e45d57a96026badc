"""Messages of the platform's store: omitted fields, and fields that cannot be decoded."""

import contextlib
from functools import partial

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...emulator import field_paths, replace_field
from .._decoding import BadMessage
from .._store import PlatformStore
from .._store_messages import (
    decode_committed,
    decode_key,
    decode_lease,
    decode_page,
    decode_refused,
    decode_watch,
)
from .test_worker_messages import JSON


def test_fields_that_the_protocol_allows_to_omit_are_decoded_as_empty():
    assert decode_watch({"store-revision": 3}).changes == ()
    refused = decode_refused({}, ("op/config",))
    assert (refused.succeeded, refused.revision, refused.reads) == (False, 0, (None,))


@pytest.mark.parametrize(
    "decode, fields",
    [
        (decode_watch, {"store-revision": 3, "events": None}),
        (decode_watch, {"store-revision": 3, "events": [None]}),
        (decode_page, {"store-revision": 3, "entries": None}),
        (lambda fields: decode_refused(fields, ()), {"entries": None}),
        (decode_committed, []),
    ],
)
def test_a_field_of_the_wrong_type_raises_bad_message(decode, fields):
    with pytest.raises(BadMessage):
        decode(fields)


ITEM = {"key": "a", "value": "eA==", "revision": 1, "created": 1, "lease": 0}
ANSWERS = {
    "page": (decode_page, {"entries": [ITEM], "truncated": False, "store-revision": 3}),
    "changes": (decode_watch, {"events": [ITEM], "store-revision": 3}),
    "key": (decode_key, ITEM | {"store-revision": 3}),
    "refusal": (partial(decode_refused, keys=("a",)), {"entries": [ITEM], "store-revision": 3}),
    "lease": (decode_lease, {"lease": 3, "ttl-ms": 2000}),
    "commit": (decode_committed, {"revision": 3}),
}


@pytest.mark.parametrize("name", ANSWERS)
@given(data=st.data())
def test_an_answer_with_any_field_of_any_value_is_decoded_or_bad(name, data):
    decode, sound = ANSWERS[name]
    path = data.draw(st.sampled_from(field_paths(sound)))
    with contextlib.suppress(ValueError):
        decode(replace_field(sound, path, data.draw(JSON)))


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_with_any_field_nested_deeply_is_decoded_or_bad(name):
    """Failure: a value nested deeply could not be shown in the line that reports it."""
    decode, sound = ANSWERS[name]
    for path in field_paths(sound):
        marked = orjson.dumps(replace_field(sound, path, "@@"))
        with contextlib.suppress(ValueError):
            decode(orjson.loads(marked.replace(b'"@@"', b"[" * 1000 + b"]" * 1000)))


@pytest.mark.parametrize("era", ["9" * 5000, "9" * 10, "-1", "x", "\u00b2", ""])
def test_an_era_that_is_no_number_of_restorations_counts_as_the_known_one(era):
    """Failure: an era of more digits than Python reads raised in the caller of the store."""
    store = PlatformStore("127.0.0.1:1")
    store.raise_era(2)
    assert store._read_era(era) == 2 == store.era
    assert store._read_era("3") == 3
