"""Whether the head of a received HTTP response is an answer; decided before anything uses it.

aiohttp's parser accepts every status of three digits, and control bytes in a reason phrase and in
field values. Most of these could not be written to a caller, or have no meaning there.
`AnswerProtocol` checks each head of each connection by these rules.
"""

from aiohttp.http import RawResponseMessage

from .outcomes import Fault

__all__ = ["FIRST_FINAL_STATUS", "head_fault"]

# Statuses (RFC 9110, section 15): informational ones, then those of a final answer.
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
SWITCHING_PROTOCOLS = 101


def head_fault(message: RawResponseMessage) -> Fault | None:
    """Return why a parsed head is not part of an answer; None for a sound one.

    No request asks for another protocol, so that status 101 answers none.
    """
    return _status_fault(message.code)


def _status_fault(status: int) -> Fault | None:
    """Return the fault of a status that no answer has.

    Examples
    --------
    >>> _status_fault(204), _status_fault(103)
    (None, None)
    >>> str(_status_fault(0)), str(_status_fault(101))
    ('status: 0 is not a status from 100 to 599', 'status: 101 was not asked for')
    """
    if not FIRST_STATUS <= status <= LAST_STATUS:
        return Fault("status", f"{status} is not a status from {FIRST_STATUS} to {LAST_STATUS}")
    if status == SWITCHING_PROTOCOLS:
        return Fault("status", f"{status} was not asked for")
    return None
