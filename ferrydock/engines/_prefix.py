"""How a prompt is cut into the blocks that prefix caches hold."""

import xxhash

__all__ = ["BLOCK_CHARACTERS", "prefix_blocks"]

BLOCK_CHARACTERS = 64


def prefix_blocks(prompt: str, most: int = 256) -> tuple[int, ...]:
    """Return the chained hashes of the prompt's whole blocks, first block first.

    Two prompts share the first k numbers just when their first k blocks are the same.

    Parameters
    ----------
    prompt : str
        The text that goes to the engine.
    most : int, default=256
        At most so many blocks are looked at.

    Examples
    --------
    >>> a = prefix_blocks("x" * 128 + "a" * 64)
    >>> b = prefix_blocks("x" * 128 + "b" * 64)
    >>> len(a), a[:2] == b[:2], a[2] == b[2]
    (3, True, False)
    """
    count = min(len(prompt) // BLOCK_CHARACTERS, most)
    blocks = []
    chain = 0
    for index in range(count):
        text = prompt[index * BLOCK_CHARACTERS : (index + 1) * BLOCK_CHARACTERS]
        chain = xxhash.xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"), seed=chain)
        blocks.append(chain)
    return tuple(blocks)
