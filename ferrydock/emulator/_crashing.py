"""What is promised of requests that crash their targets, and the judge of it; pure.

A request under which `CRASHES` targets have ended, and which goes on coming, reaches targets in
`MAX_MORE` tries more at the most, once daemons that are well have had `CONTACT_S` to learn of it.
"""

from collections.abc import Callable

from ..standins.fleet import CrashingRequest

__all__ = ["CONTACT_S", "CRASHES", "MAX_MORE", "arrivals_beyond"]

# The promise of the platform: its ``contact-ms`` on the known sites, and the numbers of its rule.
CONTACT_S = 3.0
CRASHES = 3
MAX_MORE = 3


def arrivals_beyond(
    seen: CrashingRequest, is_well: Callable[[str, float], bool] = lambda request_id, at_s: True
) -> list[float]:
    """Return when a request reached targets although daemons had the time to know it.

    Parameters
    ----------
    is_well : callable
        Whether the daemon that a try, by its id, was sent to had been well for `CONTACT_S`.
    """
    if len(seen.crashed_s) < CRASHES:
        return []
    known_s = sorted(seen.crashed_s)[CRASHES - 1] + CONTACT_S
    return [
        at_s for at_s, request_id in seen.arrived if at_s > known_s and is_well(request_id, at_s)
    ]
