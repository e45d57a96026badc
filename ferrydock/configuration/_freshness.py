"""Rule: how old the configuration may be, that is, how long ago it was confirmed as the newest.

Ages count on the steady clock, from the start of the store call that confirmed the version, and
travel between daemons as durations. Pure.
"""

__all__ = ["LEADER_MAX_AGE_S", "max_keyed_age_s"]

# Seconds by which this daemon stays below the deployment's bound on requests with a revoked key: a
# request that passes the check at the bound still has to reach its target. Chosen, not measured.
KEYED_MARGIN_S = 0.4

# Oldest confirmation, in seconds, with which a hall leader counts as reading the store. Beyond it
# the leader stops answering its followers, and a follower stops relying on it; each then reads the
# store itself. The leader confirms every 0.5 s. A change must be in force everywhere within 2 s:
# 1.1 s, 0.6 s for a question that gets no answer and 0.15 s of pause make 1.85 s. Measured in
# docs/MEASUREMENTS.md, routes, "word of the store bounded to 1.1 s" (commit befabb3).
LEADER_MAX_AGE_S = 1.1


def max_keyed_age_s(revocation_bound_s: float) -> float:
    """Return the oldest confirmation with which a request with a key may be served, in seconds.

    Beyond it such a request gets 503, never 401: its key may be good.

    Parameters
    ----------
    revocation_bound_s : float
        Seconds after which no daemon may accept a revoked key, from the daemon's settings.
    """
    return revocation_bound_s - KEYED_MARGIN_S
