"""Lifecycle of one request: whether it may be sent again, and whether it ran.

A state machine that owns the phase of the request. A transition that is not allowed raises
AssertionError: it is a fault of the calling code.
"""

from enum import StrEnum

from ..outcomes import Run

__all__ = ["RequestLifecycle", "RequestPhase"]


class RequestPhase(StrEnum):
    """Phase of a request."""

    ACCEPTED = "accepted"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    FIRST_BYTE = "first_byte"
    ENDED = "ended"


_ALLOWED_NEXT = {
    RequestPhase.ACCEPTED: {RequestPhase.QUEUED, RequestPhase.ENDED},
    RequestPhase.QUEUED: {RequestPhase.DISPATCHED, RequestPhase.ENDED},
    RequestPhase.DISPATCHED: {RequestPhase.QUEUED, RequestPhase.FIRST_BYTE, RequestPhase.ENDED},
    RequestPhase.FIRST_BYTE: {RequestPhase.DISPATCHED, RequestPhase.ENDED},
    RequestPhase.ENDED: set(),
}


class RequestLifecycle:
    """Phase of a request, and whether it ran, may have run or did not run.

    Parameters
    ----------
    repeatable : bool
        Whether the request may run more than once.

    Notes
    -----
    A request is `not_run` until a byte of it is sent to a target, and again once the target states
    that it did not run the request. After a byte was sent without such a statement it is
    `unknown`; after the target's complete answer it is `ran`.

    Examples
    --------
    >>> lifecycle = RequestLifecycle(repeatable=False)
    >>> lifecycle.queue(); lifecycle.dispatch(); lifecycle.lose_contact()
    >>> lifecycle.run, lifecycle.may_run_again
    (<Run.UNKNOWN: 'unknown'>, False)
    """

    __slots__ = ("_may_have_run", "_ran", "phase", "repeatable")

    def __init__(self, repeatable: bool):
        self.repeatable = repeatable
        self.phase = RequestPhase.ACCEPTED
        self._may_have_run = False
        self._ran = False

    @property
    def run(self) -> Run:
        """Whether the request ran."""
        if self._ran:
            return Run.RAN
        is_unknown = self._may_have_run or self.phase in (
            RequestPhase.DISPATCHED,
            RequestPhase.FIRST_BYTE,
        )
        return Run.UNKNOWN if is_unknown else Run.NOT_RUN

    @property
    def may_run_again(self) -> bool:
        """Whether it may be sent to a target: it is repeatable, or certainly did not run."""
        return self.repeatable or self.run is Run.NOT_RUN

    def _move_to(self, phase: RequestPhase) -> None:
        if phase not in _ALLOWED_NEXT[self.phase]:
            raise AssertionError(f"invalid transition of a request: {self.phase} to {phase}")
        self.phase = phase

    def queue(self) -> None:
        """Enter the queue for a target; no change if it is there already."""
        if self.phase is not RequestPhase.QUEUED:
            self._move_to(RequestPhase.QUEUED)

    def dispatch(self) -> None:
        """Note that the request is about to be sent to a target."""
        if not self.may_run_again:
            raise AssertionError("a request that is not repeatable may not be sent twice")
        self._move_to(RequestPhase.DISPATCHED)

    def undo_dispatch(self) -> None:
        """Undo a dispatch: the target did not run the request, or no byte was sent."""
        if self.phase is not RequestPhase.DISPATCHED:
            raise AssertionError(f"the dispatch of a request that is {self.phase} cannot be undone")
        self._move_to(RequestPhase.QUEUED)

    def lose_contact(self) -> None:
        """Note that contact was lost: the target may have run the request or still run it."""
        self._may_have_run = True
        if self.phase is RequestPhase.DISPATCHED:
            self._move_to(RequestPhase.QUEUED)

    def resume(self) -> None:
        """Return to the dispatched phase to continue the same run on the same engine."""
        if self.phase is RequestPhase.FIRST_BYTE:
            self._move_to(RequestPhase.DISPATCHED)

    def first_byte(self) -> None:
        """Note that the target has begun to answer."""
        if self.phase is RequestPhase.DISPATCHED:
            self._move_to(RequestPhase.FIRST_BYTE)

    def finish(self) -> None:
        """End the request: the target's complete answer was received."""
        self._move_to(RequestPhase.ENDED)
        self._ran = True
        self._may_have_run = False

    def fail(self) -> Run:
        """End the request without a complete answer; return whether it ran."""
        run = self.run
        self._may_have_run = run is Run.UNKNOWN
        if self.phase is not RequestPhase.ENDED:
            self._move_to(RequestPhase.ENDED)
        return run
