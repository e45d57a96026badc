"""Describes how the emulated store answered, second by second. Stateless.

Calls that daemons give up look the same in their logs whether the store was not read, was slow, or
answered in time. The emulated store knows when it read and answered each call.
"""

import math
from collections.abc import Iterable

from ..standins.fleet import StoreCall

__all__ = ["describe_store_answers"]


def describe_store_answers(calls: Iterable[StoreCall], load_began_s: float) -> list[str]:
    """Return a line for each second in which calls were read.

    Examples
    --------
    >>> calls = [StoreCall("txn", 10.2, 10.3, True), StoreCall("txn", 10.9, 12.3, False)]
    >>> describe_store_answers(calls, load_began_s=10.0)
    ['0 s: 2 calls read, 1 answered to a closed connection, slowest 1.40 s']
    """
    by_second: dict[int, list[StoreCall]] = {}
    for call in calls:
        by_second.setdefault(math.floor(call.received_s - load_began_s), []).append(call)
    return [
        f"{second} s: {len(found)} calls read, "
        f"{sum(not call.is_awaited for call in found)} answered to a closed connection, "
        f"slowest {max(call.answered_s - call.received_s for call in found):.2f} s"
        for second, found in sorted(by_second.items())
    ]
