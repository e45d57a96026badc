"""Parsing the headers of a worker's answer."""

import pytest

from ...outcomes import Fault
from .. import PlatformDialect

SIGNED = {"X-Server-Stamp": "s"}
REFUSED = {"X-Not-Executed": "1"}


@pytest.mark.parametrize("marks", [SIGNED, REFUSED])
@pytest.mark.parametrize("text, per_s", [("1.1", 1.1), ("0", 0.0), ("50", 50.0), (" 2 ", 2.0)])
def test_a_rate_limit_is_parsed_from_successes_and_refusals(marks, text, per_s):
    head = PlatformDialect().parse_answer(503, {**marks, "Server-Limit": text})
    assert head.is_targets_own and head.rate_limit_per_s == per_s


@pytest.mark.parametrize("text", ["nan", "-3", "1e999", "-inf", "", "one", "1" * 33, "1,5"])
def test_a_malformed_rate_limit_is_a_fault_that_names_the_header(text):
    head = PlatformDialect().parse_answer(200, {**SIGNED, "Server-Limit": text})
    assert isinstance(head.rate_limit_per_s, Fault)
    assert head.rate_limit_per_s.place == "Server-Limit"


@pytest.mark.parametrize("marks", [SIGNED, REFUSED])
def test_server_leaving_is_parsed_from_successes_and_refusals(marks):
    dialect = PlatformDialect()
    assert dialect.parse_answer(200, {**marks, "Server-Leaving": "1"}).is_leaving is True
    assert dialect.parse_answer(200, {**marks, "Server-Leaving": "0"}).is_leaving is False
    assert dialect.parse_answer(200, marks).is_leaving is False
    assert isinstance(
        dialect.parse_answer(200, {**marks, "Server-Leaving": "soon"}).is_leaving, Fault
    )


@pytest.mark.parametrize("text, rest_s", [("3", 3.0), ("0.5", 0.5), ("0", 0.0), ("3600", 3600.0)])
def test_a_back_off_is_parsed_only_from_a_503_that_refuses(text, rest_s):
    dialect = PlatformDialect()
    assert dialect.parse_answer(503, {**REFUSED, "Retry-After": text}).backoff_s == rest_s
    assert dialect.parse_answer(429, {**REFUSED, "Retry-After": text}).backoff_s is None
    assert dialect.parse_answer(503, {**SIGNED, "Retry-After": text}).backoff_s is None


@pytest.mark.parametrize("text", ["Fri, 31 Dec 1999 23:59:59 GMT", "nan", "-3", "1e999", ""])
def test_a_malformed_back_off_is_a_fault_and_the_rate_limit_is_still_parsed(text):
    head = PlatformDialect().parse_answer(
        503, {**REFUSED, "Retry-After": text, "Server-Limit": "2"}
    )
    assert isinstance(head.backoff_s, Fault) and head.backoff_s.place == "Retry-After"
    assert head.rate_limit_per_s == 2.0


@pytest.mark.parametrize("status, headers", [(200, {}), (421, SIGNED), (421, REFUSED)])
def test_an_answer_that_the_addressed_worker_did_not_write_is_not_its_own(status, headers):
    head = PlatformDialect().parse_answer(status, {**headers, "Server-Limit": "1"})
    assert not head.is_targets_own


@pytest.mark.parametrize(
    "text, parts",
    [
        ("", ()),
        ("ab:1", ()),
        ("ab:1,cd:2", ("ab",)),
        (" AB:1 , ab:9 ,cd:2,ef:0", ("ab", "cd")),
        (",".join(f"{n:x}:1" for n in range(60)), tuple(f"{n:x}" for n in range(16))),
    ],
)
def test_the_parts_of_a_prompt_that_others_may_share_are_all_but_the_last(text, parts):
    assert PlatformDialect().parse_request({"X-Prompt-Prefix": text}).shared_parts == parts


@pytest.mark.parametrize(
    "text",
    [
        "ab",
        "ab:",
        ":1",
        "xyz:1,ab:1",
        "ab:1,,cd:1",
        "ab:-1,cd:1",
        "a" * 65 + ":1,b:1",
        "\u00e9:1,a:1",
    ],
)
def test_a_request_with_unreadable_parts_is_served_without_them(caplog, text):
    caplog.set_level("INFO", logger="ferrydock.platform")
    headers = {"X-Prompt-Prefix": text, "X-Attempt-Id": "r1"}
    assert PlatformDialect().parse_request(headers).shared_parts == ()
    assert "request=r1" in caplog.text and "X-Prompt-Prefix" in caplog.text
