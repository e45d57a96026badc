"""Rule: how old the configuration may be for a request with a key to be served.

Its age is measured on a monotonic clock, from the start of the store call that confirmed the
version as the newest. `ferrydock.freshness` lists the other bounds on its age. Pure.
"""

__all__ = ["max_keyed_age_s"]

# How far this daemon stays below the deployment's bound on accepting revoked keys: a request that
# passes the check just before the bound still has to reach its target.
KEYED_MARGIN_S = 0.4


def max_keyed_age_s(revocation_bound_s: float) -> float:
    """Return the age of the configuration up to which a request with a key is served, in seconds.

    Beyond it the request gets 503 and never 401, because its key may be valid.

    Parameters
    ----------
    revocation_bound_s : float
        Time after which no daemon may accept a revoked key, from the daemon's settings.
    """
    return revocation_bound_s - KEYED_MARGIN_S
