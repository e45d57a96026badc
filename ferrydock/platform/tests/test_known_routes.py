"""Routes that stand as before are not decoded again, and the result is the same."""

import orjson
import pytest

from ...standins.fleet import FleetSite
from .. import parse_configuration
from .._configuration import KnownRoutes


def encoded(**changes):
    return orjson.dumps({**FleetSite(("hall-a",)).configuration(), **changes})


def test_what_stands_as_before_is_the_same_object_and_the_rest_is_decoded_anew():
    known = KnownRoutes()
    routes = orjson.loads(encoded())["routes"]
    first = parse_configuration(encoded(), known)
    changed = [{**routes[0], "timeout-ms": 1234}, *routes[2:], {**routes[1], "name": "added"}]
    second = parse_configuration(encoded(routes=changed), known)
    assert second == parse_configuration(encoded(routes=changed))
    assert second.routes[0].time_limit_s == 1.234
    assert second.routes[1] is first.routes[2]
    assert [route.name for route in second.routes] == [route["name"] for route in changed]


def test_a_configuration_with_a_bad_route_is_refused_and_changes_nothing():
    known = KnownRoutes()
    first = parse_configuration(encoded(), known)
    routes = orjson.loads(encoded())["routes"]
    with pytest.raises(KeyError):
        parse_configuration(encoded(routes=[*routes, {"name": "bad"}]), known)
    assert parse_configuration(encoded(), known).routes[0] is first.routes[0]
