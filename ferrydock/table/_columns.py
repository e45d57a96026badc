"""Declares the operators' table: sheets and columns with types, units, ranges and defaults."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from ..invariants import require

__all__ = ["SHEETS", "Column", "Sheet", "is_row_name"]

_ROW_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,62}")
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
_URL_WITH_IP = re.compile(r"https?://(\d{1,3}\.){3}\d{1,3}:\d{1,5}(/[A-Za-z0-9._/-]*)?")
_WEIGHTED_NAME = re.compile(r"([A-Za-z0-9][A-Za-z0-9._:-]{0,62})(?:=(\d{1,9}(?:\.\d{1,6})?))?")
_PATH_PREFIX = re.compile(r"/(?:[!-~]*/)?")
_BOOL_WORDS = {"true": True, "yes": True, "1": True, "false": False, "no": False, "0": False}
_MAX_CELL_CHARACTERS = 4096


@dataclass(frozen=True, slots=True)
class Column:
    """One column of a sheet.

    Attributes
    ----------
    name : str
        Name, with its unit as a suffix.
    kind : str
        ``int``, ``float``, ``bool``, ``text``, ``names`` (separated by whitespace),
        ``digests`` (SHA-256 in hexadecimal), ``urls`` (with IP addresses), ``weights`` (services
        with their weights) or ``prefix`` (of a path).
    default : str or None
        Text assumed for an absent cell; None if the cell is mandatory.
    doc : str
        Meaning of the cell, for the operators' page.
    minimum, maximum : float or None
        Range of a number, both ends included.
    choices : tuple of str
        Permitted values of a text cell; empty permits any text.
    """

    name: str
    kind: str
    default: str | None
    doc: str
    minimum: float | None = None
    maximum: float | None = None
    choices: tuple[str, ...] = ()

    def parse(self, text: str):
        """Return the value of a cell; raise ValueError with the permitted values otherwise."""
        text = text.strip()
        if len(text) > _MAX_CELL_CHARACTERS:
            raise ValueError(f"is longer than {_MAX_CELL_CHARACTERS} characters")
        return _PARSERS[self.kind](self, text)

    @property
    def allowed(self) -> str:
        """Description of the permitted values, for error messages and the operators' page."""
        if self.choices:
            return " or ".join(self.choices)
        if self.kind in ("int", "float"):
            noun = "a whole number" if self.kind == "int" else "a number"
            return f"{noun} from {self.minimum:g} to {self.maximum:g}"
        return _ALLOWED_VALUES[self.kind]


_ALLOWED_VALUES = {
    "weights": "names of services, each with =WEIGHT or alone, set apart by blanks",
    "prefix": "a path that begins and ends with a slash",
    "bool": "true or false",
    "text": "any text",
    "names": "names set apart by blanks",
    "digests": "SHA-256 digests in hexadecimal, set apart by blanks",
    "urls": "addresses http://IP:PORT set apart by blanks",
}


def _parse_number(column: Column, text: str):
    convert = int if column.kind == "int" else float
    try:
        value = convert(text)
    except ValueError:
        raise ValueError(f"{text!r} is not {column.allowed}") from None
    if not require(column.minimum, "minimum") <= value <= require(column.maximum, "maximum"):
        raise ValueError(f"{text!r} is not {column.allowed}")
    return value


def _parse_bool(column: Column, text: str) -> bool:
    if text.lower() not in _BOOL_WORDS:
        raise ValueError(f"{text!r} is not {column.allowed}")
    return _BOOL_WORDS[text.lower()]


def _parse_text(column: Column, text: str) -> str:
    if column.choices and text not in column.choices:
        raise ValueError(f"{text!r} is not {column.allowed}")
    if not text.isprintable():
        raise ValueError("holds characters that cannot be printed")
    return text


def _words_matching(pattern: re.Pattern) -> Callable[[Column, str], tuple[str, ...]]:
    def parse(column: Column, text: str) -> tuple[str, ...]:
        words = tuple(text.split())
        for word in words:
            if not pattern.fullmatch(word):
                raise ValueError(f"{word!r} does not fit: {column.allowed}")
        return words

    return parse


def _parse_weights(column: Column, text: str) -> tuple[tuple[str, float], ...]:
    pairs = []
    for word in text.split():
        match = _WEIGHTED_NAME.fullmatch(word)
        if not match or (match[2] is not None and not float(match[2]) > 0):
            raise ValueError(f"{word!r} does not fit: {column.allowed}, weights above 0")
        pairs.append((match[1], float(match[2] or 1)))
    if not pairs:
        raise ValueError(f"must be filled: {column.allowed}")
    return tuple(pairs)


def _parse_prefix(column: Column, text: str) -> str:
    if not _PATH_PREFIX.fullmatch(text):
        raise ValueError(f"{text!r} is not {column.allowed}")
    return text


_PARSERS: dict[str, Callable] = {
    "int": _parse_number,
    "float": _parse_number,
    "bool": _parse_bool,
    "text": _parse_text,
    "names": _words_matching(re.compile(r"[A-Za-z0-9._:*?-]{1,63}")),
    "digests": _words_matching(_SHA256_HEX),
    "prefix": _parse_prefix,
    "weights": _parse_weights,
    "urls": _words_matching(_URL_WITH_IP),
}


@dataclass(frozen=True, slots=True)
class Sheet:
    """One sheet of the table.

    Attributes
    ----------
    row_doc : str
        What a row stands for; completes "A row is ..." on the operators' page.
    only_row : str or None
        Name of the only row that the sheet may have; None allows any row.
    """

    name: str
    row_doc: str
    columns: tuple[Column, ...]
    only_row: str | None = None

    def column(self, name: str) -> Column | None:
        """Return the column called `name`, or None."""
        return next((column for column in self.columns if column.name == name), None)


def is_row_name(name: str) -> bool:
    """Return whether `name` is a valid row name.

    A row name has 1 to 63 letters, digits and ``._:-`` and begins with a letter or digit.

    Examples
    --------
    >>> is_row_name("hall-a"), is_row_name("a/b")
    (True, False)
    """
    return _ROW_NAME.fullmatch(name) is not None


def _int(name, default, low, high, doc):
    return Column(name, "int", default, doc, low, high)


def _float(name, default, low, high, doc):
    return Column(name, "float", default, doc, low, high)


_SITE = Sheet(
    "site",
    "the whole site; its only row is `site`",
    (
        _float("downtime_weight", "1", 0, 1000, "Cost of a replica being short for one second."),
        _float("stranded_weight", "1", 0, 1000, "Cost of one box standing idle for one second."),
        _float(
            "attestation_ttl_s",
            "2.5",
            0.2,
            10,
            "How long word that a replica is whole counts.",
        ),
        _float("probe_interval_s", "0.5", 0.05, 5, "Pause between two probes of a replica."),
        _float("lease_ttl_s", "5", 1, 60, "Time to live of a hall controller's lease."),
        _float("settle_s", "3", 0, 300, "Extra wait before a box that checks no orders moves."),
        _float("member_wait_s", "1", 0, 3600, "Least wait for a missing box before a repair."),
        _int("concurrent_loads", "4", 1, 1000, "Replicas of a hall that may load at a time."),
        _float("claim_retention_s", "86400", 60, 2592000, "How long a claim is remembered."),
        _float("queue_wait_s", "2", 0, 120, "Longest wait of a request for a free replica."),
        _float("retry_budget_ratio", "0.1", 0, 1, "Retries as a part of the first attempts."),
        Column("operator_key_digests", "digests", "", "Operators' keys; two may be valid at once."),
    ),
    only_row="site",
)

_HALLS = Sheet(
    "halls",
    "one hall",
    (
        Column("region", "text", "", "Region in which the hall stands."),
        Column("serving", "bool", "true", "Whether replicas are formed in the hall."),
        _float("distance_ms", "1", 0, 1000, "One-way trip from any other hall."),
    ),
)

_MODELS = Sheet(
    "models",
    "one model",
    (
        Column("version", "text", "1", "Version of the weights to load."),
        _int("weight_bytes", "0", 0, 10**14, "Size of the weights that a replica loads."),
        _int("boxes_per_replica", "4", 4, 32, "Boxes that form one replica."),
        _int("replicas_per_hall", "1", 0, 1000, "Replicas wanted in each hall."),
        Column("halls", "names", "", "Halls that serve the model; empty means all."),
        _int("priority", "5", 0, 9, "Which model gets boxes first; 9 is the highest."),
        _int("slots_per_replica", "16", 1, 10000, "Requests that a replica serves at a time."),
        _int("first_token_objective_ms", "490", 1, 600000, "Objective: time to the first token."),
        _int("between_tokens_objective_ms", "40", 1, 60000, "Objective: time between tokens."),
        _float("objective_ratio", "0.95", 0, 0.99999, "Part of the answers that must meet them."),
        _float("whole_objective_ratio", "0.999", 0, 0.99999, "Part that must come whole."),
    ),
)

_TEAMS = Sheet(
    "teams",
    "one team",
    (
        Column("key_digests", "digests", "", "Callers' keys; two may be valid at once."),
        Column("enabled", "bool", "true", "Whether the team is served."),
    ),
)

_SHARES = Sheet(
    "shares",
    "what one team gets of one model",
    (
        Column("team", "text", None, "Team, a row of `teams`."),
        Column("model", "text", None, "Model, a row of `models`."),
        _float("weight", "1", 0.001, 1000000, "Part of the model under contention, beside others."),
        _float("requests_per_s", "1000000", 0, 1000000, "Limit of requests over all halls."),
        _int("burst_requests", "20", 1, 1000000, "Requests that may come at once over the limit."),
        _int("concurrency", "1000000", 0, 1000000, "Limit of requests in flight over all halls."),
        _int("priority", "5", 0, 9, "Priority in queues and engines; 9 is the highest."),
        _int("first_token_objective_ms", "0", 0, 600000, "Objective of the team; 0: the model's."),
        _int("between_tokens_objective_ms", "0", 0, 60000, "The same between tokens."),
    ),
)

_TARGETS = Sheet(
    "targets",
    "one plain service, or a group of boxes with model engines",
    (
        Column("kind", "text", None, "What it is.", choices=("plain_service", "model_engine")),
        Column("hall", "text", "", "Hall in which it stands; empty means any."),
        Column("urls", "urls", "", "Addresses of a plain service."),
        Column("boxes", "names", "", "Boxes of a model engine group; `*` and `?` match."),
        Column("checks_orders", "bool", "true", "Whether it refuses orders with an old fence."),
        Column("leaving", "bool", "false", "Whether it gets no new work."),
        Column("repeatable_methods", "names", "GET HEAD OPTIONS", "Methods that may be repeated."),
        _float("timeout_s", "30", 0.1, 3600, "Longest wait for an answer."),
        _int("max_attempts", "2", 1, 10, "Attempts at a repeatable call."),
    ),
)

_ROUTES = Sheet(
    "routes",
    "where requests of one host and path prefix go; the longest prefix wins",
    (
        Column("host", "text", None, "Host that callers name."),
        Column("path_prefix", "prefix", "/", "Beginning of the path."),
        Column("back_ends", "weights", None, "Plain services behind it, rows of `targets`."),
        Column(
            "kind",
            "text",
            "at_most_once",
            "How often a request may run, and what its answer is.",
            choices=("repeatable", "at_most_once", "stream", "resumable_stream"),
        ),
        _int("time_limit_ms", "30000", 1, 3600000, "Longest time that a request is held."),
        _int("attempts", "2", 1, 10, "Most targets that one request is sent to."),
        _int("priority", "5", 0, 9, "Priority in queues; 9 is the highest."),
        _int("first_answer_objective_ms", "1000", 1, 600000, "Objective: first byte of an answer."),
        _int("gap_objective_ms", "300", 1, 600000, "Objective: longest gap between two events."),
        Column("public", "bool", "false", "Whether a request needs no key."),
    ),
)

SHEETS: dict[str, Sheet] = {
    sheet.name: sheet for sheet in (_SITE, _HALLS, _MODELS, _TEAMS, _SHARES, _TARGETS, _ROUTES)
}
