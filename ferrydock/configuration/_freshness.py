"""Rule: how old the configuration may be for a request with a key to be served.

Its age counts on the steady clock, from the start of the store call that confirmed the version as
the newest. How old it may be otherwise, and through a leader: `ferrydock.freshness`. Pure.
"""

__all__ = ["max_keyed_age_s"]

# Seconds by which this daemon stays below the deployment's bound on requests with a revoked key: a
# request that passes the check at the bound still has to reach its target. Chosen, not measured.
KEYED_MARGIN_S = 0.4


def max_keyed_age_s(revocation_bound_s: float) -> float:
    """Return the oldest confirmation with which a request with a key may be served, in seconds.

    Beyond it such a request gets 503, never 401: its key may be good.

    Parameters
    ----------
    revocation_bound_s : float
        Seconds after which no daemon may accept a revoked key, from the daemon's settings.
    """
    return revocation_bound_s - KEYED_MARGIN_S
