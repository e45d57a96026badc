"""Entries of the target list in JSON that no encoder writes: the others are followed."""

import asyncio
import base64

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...emulator import field_paths, replace_field
from ...outcomes import Fault
from ...store import Position
from ...targets import Target, TargetDirectory
from .._store import PlatformStore, _Answer
from .._targets import PlatformTargetSource
from .._worker_messages import decode_report, decode_target
from .test_foreign_entries import ListStore, sound
from .test_worker_messages import MODEL, REPORT, has_declared_types

NESTED = [
    opening * depth + closing * depth
    for depth in (900, 1000, 1024, 1025, 10_000, 1_000_000)
    for opening, closing in ((b"[", b"]"), (b'{"a":', b"}"), (b"[", b""))
]
NUMBERS = [
    *(b"1e400", b"-1e400", b"1" + b"0" * 400, b"1" + b"0" * 5000, b"-1" + b"0" * 400, b"NaN"),
    *(b"Infinity", b"-Infinity", b"18446744073709551616", b"9223372036854775808", b"-1", b"1e308"),
]
ADDRESSES = [
    *("1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:99999999", "1.2.3.4:-1", "1.2.3.4:080", "1.2.3.4:+80"),
    *("1.2.3.4:\u0661\u0662", "\uff11.2.3.4:80", "1.2.3.4:80 ", "1.2.3.4: 80", "1.2.3:80", ":80"),
    *("[::1]:80", "01.2.3.4:80", "1.2.3.4:1e3", "1.2.3.4:0x50", "1.2.3.4:8_0", "9" * 10**6 + ":80"),
]
TEXTS = [
    b'"\\ud800"',
    b'"\\udc00\\ud800"',
    b'"\xff"',
    b'"\xed\xa0\x80"',
    b'"' + b"x" * 10**6 + b'"',
]
VALUES = st.sampled_from([*NESTED, *NUMBERS, *TEXTS, *map(orjson.dumps, ADDRESSES)])
PATHS = st.sampled_from([*field_paths(MODEL), ("unnamed",)])


def replaced(sound_fields, path, text):
    """Return a message with JSON text in place of one field."""
    marked = replace_field(sound_fields | {"unnamed": 0}, path, "@@")
    return orjson.dumps(marked).replace(b'"@@"', text)


def repeated(sound_fields, path, text):
    """Return a message in which one field stands twice, the second time with JSON text."""
    return orjson.dumps(sound_fields)[:-1] + b',"' + path[0].encode() + b'":' + text + b"}"


@given(PATHS, VALUES, st.sampled_from([replaced, repeated]))
def test_an_entry_with_any_field_of_odd_text_is_a_target_of_declared_types_or_none(
    path, text, change
):
    decoded = decode_target("i-1", change(MODEL, path, text))
    assert isinstance(decoded, Fault) or has_declared_types(decoded)


@given(st.sampled_from([*field_paths(REPORT), ("unnamed",)]), VALUES)
def test_a_report_with_any_field_of_odd_text_has_declared_types_or_is_none(path, text):
    decoded = decode_report(replaced(REPORT, path, text))
    assert isinstance(decoded, Fault) or has_declared_types(decoded)


@pytest.mark.parametrize("address", ADDRESSES)
def test_an_address_that_cannot_be_connected_to_names_no_target(address):
    assert decode_target("i-1", sound(address=address)).place == "address"


ODD_ENTRIES = {
    "nested deeply": replaced(MODEL, ("models",), NESTED[-1]),
    "nested deeply where it is ignored": replaced(MODEL, ("unnamed",), NESTED[-3]),
    "number too large": replaced(MODEL, ("slots",), NUMBERS[2]),
    "number of many digits": replaced(MODEL, ("sequence",), NUMBERS[3]),
    "port out of range": sound(address="10.1.64.43:99999999"),
}


@pytest.mark.parametrize("is_written_before_start", [True, False])
@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_the_list_is_followed_on_while_there_is_an_odd_entry_and_after_it(
    name, is_written_before_start
):
    """Failure: the readers of the list ended again and again, or stopped following it."""

    async def scenario():
        store, directory = ListStore(), TargetDirectory()
        source = PlatformTargetSource(store, 0.0)
        store.put("servers/a", sound())
        if is_written_before_start:
            store.put("servers/legacy", ODD_ENTRIES[name])
        following = source.follow()
        directory.apply(await anext(following))
        for key, value, listed in (
            ("servers/legacy", ODD_ENTRIES[name], {"a"}),
            ("servers/b", sound(), {"a", "b"}),
            ("servers/a", ODD_ENTRIES[name], {"b"}),
            ("servers/legacy", None, {"b"}),
            ("servers/a", sound(sequence=9), {"a", "b"}),
        ):
            store.put(key, value)
            directory.apply(await anext(following))
            assert directory.targets.keys() == listed

    asyncio.run(scenario())


def test_an_odd_entry_on_a_later_page_leaves_the_other_pages_complete():
    names = [f"i-{number:03}" for number in range(30)]
    pages = [names[:10], names[10:20], names[20:]]
    odd = {names[10], names[19], names[29]}

    def entry(name):
        value = ODD_ENTRIES["nested deeply"] if name in odd else sound()
        encoded = base64.b64encode(value).decode()
        return {"key": f"servers/{name}", "value": encoded, "created": 1, "revision": 1}

    async def call(self, method, path, query, **options):
        after = query.get("since-revision", "")
        page = next(page for page in pages if f"servers/{page[-1]}" > after)
        fields = {"entries": list(map(entry, page)), "store-revision": 7}
        return _Answer(200, fields | {"truncated": page is not pages[-1]}, 0)

    class PagedStore(PlatformStore):
        _call = call

    async def scenario():
        listed = await anext(PlatformTargetSource(PagedStore("127.0.0.1:1"), 0.0).follow())
        assert listed.position == Position(0, 7)
        assert {target.target_id for target in listed.entries} == set(names) - odd
        assert all(isinstance(target, Target) for target in listed.entries)

    asyncio.run(scenario())
