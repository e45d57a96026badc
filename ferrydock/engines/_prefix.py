"""Splits a prompt into the blocks that prefix caches hold."""

import xxhash

__all__ = ["BLOCK_CHARACTERS", "prefix_blocks"]

BLOCK_CHARACTERS = 64


def prefix_blocks(prompt: str, max_blocks: int = 256) -> tuple[int, ...]:
    """Return the chained hashes of the prompt's full blocks, first block first.

    The first k hashes of two prompts are equal if and only if their first k blocks are equal,
    apart from hash collisions.

    Parameters
    ----------
    prompt : str
        Text that is sent to the engine.
    max_blocks : int, default=256
        Number of blocks after which the rest of the prompt is ignored.

    Examples
    --------
    >>> a = prefix_blocks("x" * 128 + "a" * 64)
    >>> b = prefix_blocks("x" * 128 + "b" * 64)
    >>> len(a), a[:2] == b[:2], a[2] == b[2]
    (3, True, False)
    """
    count = min(len(prompt) // BLOCK_CHARACTERS, max_blocks)
    hashes = []
    chain = 0
    for index in range(count):
        text = prompt[index * BLOCK_CHARACTERS : (index + 1) * BLOCK_CHARACTERS]
        chain = xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"), seed=chain)
        hashes.append(chain)
    return tuple(hashes)
