"""Splits the bytes of one run of a stream into blocks, as server-sent events are framed.

Owns the bytes of the block that is not complete. Decides nothing about a block: see `_events`. The
format is that of the HTML standard, section 9.2.6: lines end with LF, CR LF or CR, a blank line
ends a block, and a field is named by the text before the first colon of its line.
"""

import re
from dataclasses import dataclass

__all__ = ["MAX_EVENT_BYTES", "Block", "EventSplitter"]

# Largest block, the part received of an incomplete one included. A block is held until it is
# complete, so this bounds the memory for one stream.
MAX_EVENT_BYTES = 1 << 20

# Longest line that is read as an id; a longer one has no number. Of an incomplete line no more is
# kept apart, so that the time does not depend on how the bytes are divided into pieces.
MAX_ID_LINE_BYTES = 64

_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_LINE_ENDS = b"\r\n"
_NUMBER = re.compile(rb"[0-9]{1,18}")

# The most frequent piece, one complete event; read by one expression to save processor time.
_PLAIN_EVENT = re.compile(rb"id: ?([0-9]{1,18})\ndata:[^\r\n]*\n\n")


@dataclass(slots=True)
class Block:
    """The bytes up to and including a blank line: an event, or only comments or blank lines.

    Attributes
    ----------
    data : bytes
        The bytes as received.
    number : int or None
        The event's id, if it has one that is a number of at most 18 digits.
    has_data : bool
        Whether a reader of the stream gets an event from it; it does not from comments.
    """

    data: bytes
    number: int | None = None
    has_data: bool = False

    @property
    def is_event(self) -> bool:
        """Whether the block has data or a number, and so a place in the order of the stream."""
        return self.has_data or self.number is not None


class EventSplitter:
    """Splits bytes into blocks, in time proportional to their number.

    Parameters
    ----------
    keeps_byte_order_mark : bool
        Whether a byte order mark at the start is part of the first block. Where the bytes follow
        others, a reader would take it for a part of a field's name.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\r\\nda"), splitter.partial_bytes
    ([], 9)
    >>> [block.number for block in splitter.feed(b"ta: uid: 7\\r\\n\\r\\n: a comment\\n\\n")]
    [1, None]
    """

    __slots__ = (
        "_follows_cr",
        "_has_data",
        "_id_field",
        "_is_first_line",
        "_line",
        "_partial",
        "keeps_byte_order_mark",
    )

    def __init__(self, keeps_byte_order_mark: bool = True):
        self.keeps_byte_order_mark = keeps_byte_order_mark
        self._partial = bytearray()
        self._line = b""  # of the incomplete line, one byte more than is read of an id
        self._id_field = b""
        self._has_data = False
        self._is_first_line = True
        self._follows_cr = False

    @property
    def partial_bytes(self) -> int:
        """Number of bytes received of a block that is not complete; 0 between two blocks."""
        return len(self._partial)

    @property
    def holds_event(self) -> bool:
        """Whether what is held may be part of an event, and not only of comments."""
        has_field = self._has_data or bool(self._id_field)
        return has_field or (bool(self._line) and not self._line.startswith(b":"))

    def feed(self, piece: bytes) -> list[Block]:
        """Add bytes, and return the blocks that they complete.

        A CR ends a line at once. An LF that follows in a later piece belongs to that line; where
        the line ended a block, the LF is returned as a block without an event.
        """
        if not self._partial and (plain := _PLAIN_EVENT.fullmatch(piece)):
            self._is_first_line = self._follows_cr = False
            return [Block(piece, int(plain[1]), True)]
        blocks = []
        if self._follows_cr and piece.startswith(b"\n"):
            piece = piece[1:]
            if self._partial:
                self._partial += b"\n"
            else:
                blocks.append(Block(b"\n"))
            self._follows_cr = False
        if not piece:
            return blocks
        self._follows_cr = piece.endswith(b"\r")
        for line in piece.splitlines(keepends=True):  # of bytes: at LF, CR LF and CR only
            self._partial += line
            text = line.rstrip(_LINE_ENDS)
            if self._line:
                text = self._line + text[: MAX_ID_LINE_BYTES + 1 - len(self._line)]
            if line[-1] not in _LINE_ENDS:
                self._line = text[: MAX_ID_LINE_BYTES + 1]
                break  # the last one
            self._line = b""
            if self._ends_block(text):
                blocks.append(self._take_block())
        return blocks

    def _ends_block(self, text: bytes) -> bool:
        """Read a line without its end; return whether it is the blank one that ends a block."""
        text = text[: MAX_ID_LINE_BYTES + 1]  # as much as is kept of an incomplete line
        if self._is_first_line:
            self._is_first_line = False
            if text.startswith(_BYTE_ORDER_MARK):
                text = text[len(_BYTE_ORDER_MARK) :]
                if not self.keeps_byte_order_mark:
                    del self._partial[: len(_BYTE_ORDER_MARK)]
        if not text:
            return True
        name, _, value = text.partition(b":")
        if name == b"data":
            self._has_data = True
        elif name == b"id" and b"\0" not in value:  # the standard ignores an id with a NUL
            self._id_field = value if len(text) <= MAX_ID_LINE_BYTES else b""
        return False

    def _take_block(self) -> Block:
        # As in the header `Last-Event-Id`, in which the id returns, spaces around it do not count.
        text = self._id_field.strip(b" \t")
        number = int(text) if _NUMBER.fullmatch(text) else None
        block = Block(bytes(self._partial), number, self._has_data)
        self._partial.clear()
        self._id_field = b""
        self._has_data = False
        return block
