"""Configurations with any field of any value: each is in force with declared types, or refused."""

import orjson
import pytest

from ...configuration import Configuration, ConfigurationUnreadable, CurrentConfiguration
from ...emulator import field_paths, replace_field
from ...standins.fleet import FleetSite
from .._configuration import PlatformConfigurationSource
from .test_odd_entries import NESTED, NUMBERS, TEXTS

VALUES = [
    *(b"null", b"true", b"-1", b"0", b"0.5", b"1e300", b'""', b'"x"', b"[]", b"{}", b"[[1]]"),
    *(*NESTED, *NUMBERS, *TEXTS),
]


def usual_configuration():
    return FleetSite(("hall-a", "hall-b")).configuration() | {"version": 3}


def put_in_force(configuration):
    """Put a configuration in force, look up what requests need, and write its version."""
    current = CurrentConfiguration()
    current.apply_if_newer(configuration, 1.0)
    for route in configuration.routes:
        assert current.lookup.route(route.host, route.path_prefix) or "/" not in route.path_prefix
        for weighted in route.services:
            current.service(weighted.service)
    for team in configuration.teams:
        assert all(current.lookup.team(key) for key in team.keys)
    for service in current.engine_services():
        assert len({model.name for model in service.engine.models}) > 0
        current.longest_request_s(service.name)
    orjson.dumps(configuration.version)


@pytest.mark.parametrize("path", field_paths(usual_configuration()), ids=str)
def test_a_configuration_with_any_field_of_any_value_is_in_force_or_refused(path):
    """Failure: a list as the host of a route raised when the configuration was put in force."""
    marked = orjson.dumps(replace_field(usual_configuration(), path, "@@"))
    source = PlatformConfigurationSource(None)
    for value in VALUES:
        decoded = source.decode(marked.replace(b'"@@"', value))
        if isinstance(decoded, Configuration):
            if decoded.version > 0:
                put_in_force(decoded)
        else:
            assert isinstance(decoded, ConfigurationUnreadable)
