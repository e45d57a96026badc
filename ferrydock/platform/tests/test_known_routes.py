"""Unchanged routes are not decoded again, and the result is the same as without the cache."""

import orjson
import pytest

from ...standins.fleet import FleetSite
from .. import parse_configuration
from .._configuration import RouteCache


def encoded(**changes):
    return orjson.dumps({**FleetSite(("hall-a",)).configuration(), **changes})


def test_unchanged_routes_are_reused_and_changed_ones_are_decoded():
    route_cache = RouteCache()
    routes = orjson.loads(encoded())["routes"]
    first = parse_configuration(encoded(), route_cache)
    changed = [{**routes[0], "timeout-ms": 1234}, *routes[2:], {**routes[1], "name": "added"}]
    second = parse_configuration(encoded(routes=changed), route_cache)
    assert second == parse_configuration(encoded(routes=changed))
    assert second.routes[0].time_limit_s == 1.234
    assert second.routes[1] is first.routes[2]
    assert [route.name for route in second.routes] == [route["name"] for route in changed]


def test_a_configuration_with_a_bad_route_is_rejected_and_the_cache_stays():
    route_cache = RouteCache()
    first = parse_configuration(encoded(), route_cache)
    routes = orjson.loads(encoded())["routes"]
    with pytest.raises(KeyError):
        parse_configuration(encoded(routes=[*routes, {"name": "bad"}]), route_cache)
    assert parse_configuration(encoded(), route_cache).routes[0] is first.routes[0]
