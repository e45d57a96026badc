"""Bytes of a caller's request, with the headers of the platform, and the length of its answer."""

import random

__all__ = ["answer_events", "request_bytes"]

# A prompt's tokens, and the share of the permitted tokens that an answer has at least.
PROMPT_TOKENS = 100
MIN_ANSWER_SHARE = 0.5


def answer_events(request_id: str, max_tokens: int) -> int:
    """Return how many events the answer to a request has, one per token, at any worker.

    Examples
    --------
    >>> all(25 <= answer_events(f"r{number}", 50) <= 50 for number in range(100))
    True
    """
    share = random.Random(request_id).uniform(MIN_ANSWER_SHARE, 1.0)
    return max(1, round(share * max_tokens))


def request_bytes(
    path: str,
    request_id: str,
    deadline_ms: int,
    model: str,
    key: str,
    body: bytes,
    parts: tuple[str, ...] = (),
    max_tokens: int = 0,
) -> bytes:
    """Return a POST request as HTTP/1.1 bytes; the connection stays open after it.

    Parameters
    ----------
    parts : tuple of str
        Ids of the parts of its prompt, if it names any.
    max_tokens : int
        Largest number of tokens of its answer; 0 if it states none.

    Examples
    --------
    >>> request_bytes("/a/", "r", 10, "", "k", b"hi").endswith(b"hi")
    True
    """
    head = (
        f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {request_id}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nX-Model: {model}\r\nContent-Length: {len(body)}\r\n"
        f"Authorization: Bearer {key}\r\n"
    )
    if parts:
        head += "X-Prompt-Prefix: " + ",".join(f"{part}:100" for part in parts) + "\r\n"
    if max_tokens:
        head += f"X-Token-Count: {PROMPT_TOKENS},{max_tokens}\r\n"
    head += "\r\n"
    return head.encode() + body
