"""Rule: how many retries this daemon may send; its share of what the whole site may.

Owns one `RetryBudget` for each service, in memory. A site's bound holds for all daemons together,
also while they cannot see each other, so each keeps to a share that it knows by itself.
"""

from collections.abc import Callable, Iterator

from ..retry_budget import RetryBudget
from ._settings import LiveSettings

__all__ = ["RetryShares"]

# Part of the configured ratio of retries to requests that is used. The rest is room for requests
# that end in one window of the platform's count and are retried in the next. Set in commit 16068df;
# chosen, not measured.
RATIO_FRACTION = 0.8

# Part of the configured slack that all daemons share. Room for one daemon more in five than were
# counted. Set in commit 16068df and held by a test ("the shares of all daemons in the retry slack
# stay within it"); chosen, not measured.
SLACK_FRACTION = 0.8

# Part of its share of the slack that a new process starts with. It does not know what the one that
# it replaces has spent. Chosen, not measured.
START_FRACTION = 0.25

# Retries that a new process starts with at least, unless its whole share is smaller. Where hundreds
# of daemons share the slack, the part above is below one: with 68 daemons and a slack of 278 a
# daemon began with 0.82; on one day there 141 begun answers were cut for want of a retry.
MIN_START = 1.0


class RetryShares:
    """The retry budgets of this daemon, by service.

    Parameters
    ----------
    settings : LiveSettings
        The site's ratio and slack.
    site_daemons : callable
        Returns how many daemons share them.
    """

    __slots__ = ("_budgets", "settings", "site_daemons")

    def __init__(self, settings: LiveSettings, site_daemons: Callable[[], int]):
        self.settings = settings
        self.site_daemons = site_daemons
        self._budgets: dict[str, RetryBudget] = {}

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of a service; a new one starts with a part of its share."""
        budget = self._budgets.get(service)
        if budget is None:
            share = self._slack_share()
            ratio = self.settings.current.retry_ratio * RATIO_FRACTION
            start = min(share, max(MIN_START, share * START_FRACTION))
            budget = RetryBudget(ratio, share, start)
            self._budgets[service] = budget
        return budget

    def update(self) -> None:
        """Limit each budget to the share that the present number of daemons leaves."""
        share = self._slack_share()
        for budget in self._budgets.values():
            budget.limit(share)

    def items(self) -> Iterator[tuple[str, RetryBudget]]:
        """Return pairs of service and budget."""
        return iter(self._budgets.items())

    def _slack_share(self) -> float:
        """Return how many retries this daemon may save up: the slack over all daemons."""
        return self.settings.current.retry_slack * SLACK_FRACTION / self.site_daemons()
