"""What is known of a request beyond one try: whether it crashes the targets that run it.

A request that makes its target crash is sent again by its caller, or by a daemon, and takes the
next target down. This package tells such requests apart from those that were only beside them.

What does not belong here: sending requests, finding out whether a target is gone
(`ferrydock.forwarding`), and calls between daemons (`ferrydock.relay`, `ferrydock.scheduling`).
"""

from ._identity import IDENTIFIED_BODY_BYTES, request_identity

__all__ = ["IDENTIFIED_BODY_BYTES", "request_identity"]
