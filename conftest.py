"""Settings of all tests: hypothesis draws the same examples in every run."""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("long", parent=settings.get_profile("ci"), derandomize=False)
settings.load_profile(os.environ.get("FERRYDOCK_HYPOTHESIS", "ci"))
