"""Rule: which of the requests that were at a target when it ended is to blame; pure.

What goes in: the records of all requests, and the identities of those that are known to crash their
targets.
"""

from collections.abc import Collection, Mapping

from ._record import RequestRecord
from ._rule import Crash, is_same_end, row_of

__all__ = ["rank_sharers", "known_beside", "unexplained"]

Records = Mapping[str, RequestRecord]


def known_beside(identity: str, records: Records, known: Collection[str]) -> list[str]:
    """Return the other known requests that were at one of a request's targets."""
    targets = {crash.target_id for crash in records[identity].crashes}
    return [
        other
        for other in known
        if other != identity and any(c.target_id in targets for c in records[other].crashes)
    ]


def unexplained(identity: str, records: Records, known: Collection[str]) -> list[Crash]:
    """Return the crashes of a request at which no known one with more crashes was.

    A request that was beside one that crashes its targets, at several of them, is not to blame.
    """
    record = records[identity]
    explaining = [
        crash
        for other in known_beside(identity, records, known)
        if records[other].in_a_row > record.in_a_row
        for crash in records[other].crashes
    ]
    return [crash for crash in record.crashes if not is_same_end(crash, explaining)]


def rank_sharers(identity: str, records: Records, known: Collection[str]) -> None:
    """Rank the known requests that were at all crashes of a request, and the request itself.

    Nothing tells them apart but a further try; their ranks keep their tries apart.
    """
    row = row_of(records[identity].crashes)
    sharers = [
        other
        for other in known_beside(identity, records, known)
        if all(is_same_end(crash, records[other].crashes) for crash in row)
    ]
    records[identity].shared_rank = None
    if sharers:
        for rank, sharer in enumerate(sorted([identity, *sharers])):
            records[sharer].shared_rank = rank
