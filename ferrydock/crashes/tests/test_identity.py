"""Which tries are of one request."""

from .. import request_identity


def test_what_is_asked_for_and_by_whom_is_part_of_the_identity():
    usual = ("POST", "h.example", "/a/x?q=1", "acme", b"hi")
    others = [
        ("GET", "h.example", "/a/x?q=1", "acme", b"hi"),
        ("POST", "i.example", "/a/x?q=1", "acme", b"hi"),
        ("POST", "h.example", "/a/x?q=2", "acme", b"hi"),
        ("POST", "h.example", "/a/x?q=1", "", b"hi"),
        ("POST", "h.example", "/a/x?q=1", "acme", b"ho"),
        ("POST", "h.example", "/a/x?q=1acme", "", b"hi"),
    ]
    assert len({request_identity(*request) for request in [usual, *others]}) == 7
    begun = request_identity(*usual, length=3)
    assert begun != request_identity(*usual)
