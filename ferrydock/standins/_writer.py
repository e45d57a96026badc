"""Generates the answers of the stand-in engines.

Each answer repeats its whole prompt, so that a test can tell to which request it belongs.
"""

import re

__all__ = ["answer_tokens", "prompt_text", "remaining_tokens"]

_TOKEN = re.compile(r"[\u3000-\u9fff]|\s*[^\s\u3000-\u9fff]+|\s+")
_CHINESE = re.compile(r"[\u4e00-\u9fff]")
_FRENCH = re.compile(r"[àâçéèêëîïôùûœ]|\b(?:le|la|les|une|est|des)\b", re.IGNORECASE)


def prompt_text(body: dict) -> str:
    """Return the prompt of a chat or completion request; messages are joined by newlines."""
    if "prompt" in body:
        prompt = body["prompt"]
        return prompt if isinstance(prompt, str) else "\n".join(map(str, prompt))
    parts = []
    for message in body.get("messages", ()):
        content = message.get("content", "")
        if isinstance(content, list):
            content = "".join(part.get("text", "") for part in content if isinstance(part, dict))
        parts.append(str(content))
    return "\n".join(parts)


def _opening_and_closing(prompt: str) -> tuple[str, str]:
    if _CHINESE.search(prompt):
        return "敬啟者：茲就下列事項陳情，「", "」。懇請貴機關惠予查明並函復，謹致謝忱。"
    if _FRENCH.search(prompt):
        return "Reprenons ta question : « ", " ». Écris ce que tu sais déjà, puis avance pas à pas."
    return "On your request: ", " — here is a first draft to build on."


def answer_tokens(prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens of the answer to `prompt`, at most `max_tokens`.

    Examples
    --------
    >>> "".join(answer_tokens("repair the pump", 100))
    'On your request: repair the pump — here is a first draft to build on.'
    """
    opening, closing = _opening_and_closing(prompt)
    return _TOKEN.findall(opening + prompt + closing)[:max_tokens]


def remaining_tokens(tokens: list[str], text_so_far: str) -> list[str]:
    """Return the tokens that follow `text_so_far`, the part of the answer the caller has.

    Examples
    --------
    >>> remaining_tokens(["Dear", " council", ","], "Dear council")
    [',']
    """
    length = 0
    for index, token in enumerate(tokens):
        if length >= len(text_so_far):
            return tokens[index:]
        length += len(token)
    return []
