"""Parsing and validation of model requests in the format of the OpenAI API.

Stateless. Every fault found in a request body is reported with the name of its field.
"""

from dataclasses import dataclass

import orjson

from ..engines import prefix_blocks
from ..outcomes import Fault, Invalid

__all__ = ["ModelRequest", "parse_model_request"]

# Largest token limit that a caller may set; no engine generates more.
MAX_TOKENS = 1_000_000

# Cost estimate for sharing between teams: output tokens assumed for a request without a token
# limit, and tokens counted for each block of its prompt.
ASSUMED_OUTPUT_TOKENS = 256
TOKENS_PER_BLOCK = 16.0


@dataclass(slots=True)
class ModelRequest:
    """A validated model request.

    Attributes
    ----------
    request_id : str
        Identifies the request in logs and at targets.
    path : str
        ``/v1/chat/completions`` or ``/v1/completions``.
    body : bytes
        The JSON body as received.
    fields : dict
        The parsed body.
    stream : bool
        Whether the caller wants the answer as server-sent events.
    blocks : tuple of int
        Chained hashes of the prompt's blocks.
    repeatable : bool
        Whether the request may run more than once.
    key : str
        Idempotency key; empty without one.
    deadline_s : float
        Time on the local clock after which the caller does not need the answer.
    hops : int
        How often the request was forwarded to another hall.
    """

    request_id: str
    team: str
    model: str
    path: str
    body: bytes
    fields: dict
    stream: bool
    blocks: tuple[int, ...]
    priority: int
    repeatable: bool
    key: str
    deadline_s: float
    hops: int = 0

    @property
    def cost(self) -> float:
        """Estimated work in tokens, for sharing between teams."""
        output_tokens = self.fields.get("max_tokens") or self.fields.get("max_completion_tokens")
        return float(output_tokens or ASSUMED_OUTPUT_TOKENS) + TOKENS_PER_BLOCK * len(self.blocks)


def parse_model_request(raw: bytes, chat: bool) -> dict | Invalid:
    """Return the fields of a request body, or all faults found in it."""
    try:
        fields = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        return Invalid((Fault("body", f"is not JSON: {error}"),))
    if not isinstance(fields, dict):
        return Invalid((Fault("body", "must be a JSON object"),))
    faults = []
    if not isinstance(fields.get("model"), str) or not fields.get("model"):
        faults.append(Fault("model", "must be the name of a model"))
    if not isinstance(fields.get("stream", False), bool | None):
        faults.append(Fault("stream", "must be true or false"))
    for name in ("max_tokens", "max_completion_tokens"):
        value = fields.get(name)
        if value is not None and not (type(value) is int and 1 <= value <= MAX_TOKENS):
            faults.append(Fault(name, f"must be a whole number from 1 to {MAX_TOKENS}"))
    faults += _find_message_faults(fields) if chat else _find_prompt_faults(fields)
    return Invalid(tuple(faults)) if faults else fields


def _find_message_faults(fields: dict) -> list[Fault]:
    messages = fields.get("messages")
    if not isinstance(messages, list) or not messages:
        return [Fault("messages", "must be a list with at least one message")]
    faults = []
    for index, message in enumerate(messages):
        content = message.get("content") if isinstance(message, dict) else 0
        if not isinstance(content, str | list | None) or not isinstance(message.get("role"), str):
            faults.append(Fault(f"messages[{index}]", "must have a role and a content"))
    return faults


def _find_prompt_faults(fields: dict) -> list[Fault]:
    prompt = fields.get("prompt")
    texts = prompt if isinstance(prompt, list) else [prompt]
    if not texts or not all(isinstance(text, str) for text in texts):
        return [Fault("prompt", "must be a text or a list of texts")]
    return []


def prompt_blocks(fields: dict) -> tuple[int, ...]:
    """Return the chained block hashes of the prompt in validated fields."""
    if "messages" not in fields:
        prompt = fields["prompt"]
        return prefix_blocks(prompt if isinstance(prompt, str) else "\n".join(prompt))
    parts = []
    for message in fields["messages"]:
        content = message.get("content") or ""
        if isinstance(content, list):
            content = "".join(str(p.get("text", "")) for p in content if isinstance(p, dict))
        parts.append(content)
    return prefix_blocks("\n".join(parts))
