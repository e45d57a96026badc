"""Rule: in which state of a daemon a store call counts; pure.

Most calls of a day with troubles are made by daemons that read the store for lack of a leader that
relays it. The state says why, for the metric ``ferrydock_store_calls_by_caller``.
"""

__all__ = ["store_call_state"]


def store_call_state(
    *, is_leader: bool, is_settled: bool, is_ready: bool, is_relayed: bool, leader_address: str
) -> str:
    """Return the state of a daemon at the time of a store call.

    Parameters
    ----------
    is_leader : bool
        Whether this daemon leads its hall.
    is_settled : bool
        Whether the era of the store has settled.
    is_ready : bool
        Whether this daemon has a configuration and a target list.
    is_relayed : bool
        Whether the hall leader relays the store.
    leader_address : str
        Address of the last known leader of the hall; empty if none is known.

    Examples
    --------
    >>> follower = dict(is_leader=False, is_settled=True, is_ready=True)
    >>> store_call_state(**follower, is_relayed=False, leader_address="10.0.0.1:21004")
    'relay_lost'
    >>> store_call_state(**follower, is_relayed=False, leader_address="")
    'no_leader'
    """
    if is_leader:
        return "leader"
    if not is_settled:
        return "new_era"
    if not is_ready:
        return "start"
    if is_relayed:
        return "relayed"
    return "relay_lost" if leader_address else "no_leader"
