"""Rule: how many retries this daemon may send: its share of the limit of the whole site.

Owns one `RetryBudget` for each service, in memory. A site's limit applies to all daemons together,
even while they cannot reach each other, so each daemon stays within a share that it computes by
itself.
"""

from collections.abc import Callable, Iterator

from ..retry_budget import RetryBudget
from ._settings import LiveSettings

__all__ = ["RetryShares"]

# Part of the configured ratio of retries to requests that is used. The rest is room for requests
# that end in one window in which the platform counts and are retried in the next.
RATIO_FRACTION = 0.8

# Part of the configured slack that all daemons share. The rest is room for daemons that were not
# counted: one in five. `platform/tests/test_site.py` checks that the shares of all daemons together
# stay within the slack.
SLACK_FRACTION = 0.8

# Part of its share of the slack that a new process starts with: it does not know how many retries
# the process that it replaces has sent.
START_FRACTION = 0.25

# Retries that a new process starts with at least, unless its whole share is smaller. With many
# daemons `START_FRACTION` of a share is below one retry: with 68 daemons and a slack of 278 a
# daemon started with 0.82, and on one such day 141 answers that had begun were cut off for lack of
# a retry.
MIN_START_RETRIES = 1.0


class RetryShares:
    """The retry budgets of this daemon, by service.

    Parameters
    ----------
    settings : LiveSettings
        The site's ratio and slack.
    site_daemons : callable
        Returns how many daemons share the ratio and slack.
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
            start_retries = min(share, max(MIN_START_RETRIES, share * START_FRACTION))
            budget = RetryBudget(ratio, share, start_retries)
            self._budgets[service] = budget
        return budget

    def update(self) -> None:
        """Limit each budget to this daemon's share at the current number of daemons."""
        share = self._slack_share()
        for budget in self._budgets.values():
            budget.set_max_saved(share)

    def items(self) -> Iterator[tuple[str, RetryBudget]]:
        """Return an iterator over pairs of service and budget."""
        return iter(self._budgets.items())

    def _slack_share(self) -> float:
        """Return how many unused retries a budget may hold: the slack divided by the daemons."""
        return self.settings.current.retry_slack * SLACK_FRACTION / self.site_daemons()
