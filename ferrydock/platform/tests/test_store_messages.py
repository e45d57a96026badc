"""Messages of the platform's store: omitted fields, and fields that cannot be decoded."""

import pytest

from .._decoding import BadMessage
from .._store_messages import decode_committed, decode_page, decode_refused, decode_watch


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
