"""Which attempts belong to one request."""

from .. import request_identity


def test_method_host_path_team_body_and_length_are_part_of_the_identity():
    base_request = ("POST", "h.example", "/a/x?q=1", "acme", b"hi")
    others = [
        ("GET", "h.example", "/a/x?q=1", "acme", b"hi"),
        ("POST", "i.example", "/a/x?q=1", "acme", b"hi"),
        ("POST", "h.example", "/a/x?q=2", "acme", b"hi"),
        ("POST", "h.example", "/a/x?q=1", "", b"hi"),
        ("POST", "h.example", "/a/x?q=1", "acme", b"ho"),
        ("POST", "h.example", "/a/x?q=1acme", "", b"hi"),
    ]
    assert len({request_identity(*request) for request in [base_request, *others]}) == 7
    prefix_of_longer_body = request_identity(*base_request, length=3)
    assert prefix_of_longer_body != request_identity(*base_request)
