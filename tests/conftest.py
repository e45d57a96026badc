"""Fixtures for tests that run ferrydock programs as processes."""

import pytest

from .processes import Site


@pytest.fixture
def make_site(tmp_path):
    sites = []

    def make(*halls):
        site = Site(tmp_path, halls)
        sites.append(site)
        return site

    yield make
    for site in sites:
        site.end()
