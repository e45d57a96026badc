"""Bytes of a caller's request, with the headers of the platform."""

__all__ = ["request_bytes"]


def request_bytes(
    path: str,
    request_id: str,
    deadline_ms: int,
    model: str,
    key: str,
    body: bytes,
    parts: tuple[str, ...] = (),
) -> bytes:
    """Return a POST request as HTTP/1.1 bytes; the connection stays open after it.

    `parts` are the ids of the parts of its prompt, if it names any.

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
    head += "\r\n"
    return head.encode() + body
