"""Large answers between daemons are compressed, whatever the library below does; stateless.

Answers the relay of a configuration of a thousand routes, 0.4 MB, from a leader to all daemons of
its hall at once: over links of 10 Mbit/s it takes 0.3 s each, in which callers wait.
"""

import zlib

__all__ = ["pack", "unpack"]

# Answers from this size on are compressed, in bytes; below it the work costs more than the bytes.
PACK_FROM_BYTES = 8192

# Level of zlib: the fastest, of which the result is less than a tenth larger than the best.
LEVEL = 1

# First byte of what zlib writes. Messages between daemons are JSON texts, which begin otherwise.
ZLIB_MARK = b"x"

# Largest answer after unpacking, in bytes: what a connection carries without packing.
MAX_UNPACKED_BYTES = 16 * 2**20


def pack(answer: bytes) -> bytes:
    """Return an answer as it is sent.

    Examples
    --------
    >>> whole = b"[" + b"1," * 10000 + b"1]"
    >>> unpack(pack(whole)) == whole, len(pack(whole)) < len(whole) / 10, pack(b"{}")
    (True, True, b'{}')
    """
    return zlib.compress(answer, LEVEL) if len(answer) >= PACK_FROM_BYTES else answer


def unpack(answer: bytes) -> bytes:
    """Return an answer as it was before `pack`; one that was not packed comes back unchanged.

    Raises
    ------
    ValueError
        If it is broken, or larger than `MAX_UNPACKED_BYTES`.
    """
    if not answer.startswith(ZLIB_MARK):
        return answer
    unpacking = zlib.decompressobj()
    try:
        whole = unpacking.decompress(answer, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"the answer cannot be unpacked: {error}") from error
    if not unpacking.eof:
        raise ValueError("the answer is cut short, or too large when unpacked")
    return whole
