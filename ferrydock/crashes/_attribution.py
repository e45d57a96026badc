"""Rule: which of the requests that were running on a target caused it to crash; pure.

The input is the records of all requests, and the identities of the requests that are refused
because they crash their targets.
"""

from collections.abc import Collection, Mapping

from ._record import RequestRecord
from ._rule import Crash, is_same_termination

__all__ = ["rank_tied_requests", "refused_at_same_targets", "unexplained_crashes"]

Records = Mapping[str, RequestRecord]


def refused_at_same_targets(identity: str, records: Records, refused: Collection[str]) -> list[str]:
    """Return the other refused requests with a crash at any target where this one has a crash."""
    targets = {crash.target_id for crash in records[identity].crashes}
    return [
        other
        for other in refused
        if other != identity and any(c.target_id in targets for c in records[other].crashes)
    ]


def unexplained_crashes(identity: str, records: Records, refused: Collection[str]) -> list[Crash]:
    """Return the crashes of a request or part not shared with a refused one that is more suspect.

    That is one with more crashes, or one that was never answered while this one was. What merely
    ran on the same targets as the cause of their crashes is not the cause.
    """
    record = records[identity]
    explaining = [
        crash
        for other in refused_at_same_targets(identity, records, refused)
        if records[other].crash_count > record.crash_count
        or (record.answered_id and not records[other].answered_id)
        for crash in records[other].crashes
    ]
    return [crash for crash in record.crashes if not is_same_termination(crash, explaining)]


def rank_tied_requests(identity: str, records: Records, refused: Collection[str]) -> None:
    """Rank a request and the refused requests that share all of its consecutive crashes.

    Only a further attempt shows which of them is the cause. The ranks schedule those attempts at
    different times.
    """
    counted = records[identity].counted_crashes
    tied = [
        other
        for other in refused_at_same_targets(identity, records, refused)
        if all(is_same_termination(crash, records[other].crashes) for crash in counted)
    ]
    records[identity].tie_rank = None
    if tied:
        for rank, tied_identity in enumerate(sorted([identity, *tied])):
            records[tied_identity].tie_rank = rank
