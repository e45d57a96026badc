"""The verb `request`: sends one chat request to a model and prints the answer."""

import sys
from pathlib import Path

import aiohttp
import orjson

from ._verbs import Context, ExitStatus, finish, register_verb

__all__ = []

DATA_PREFIX = b"data: "


@register_verb(
    "request",
    "MODEL [FILE] [--team_key=KEY] [--key=IDEMPOTENCY_KEY]",
    "Send one request and stream the answer; the text comes from FILE or standard input.",
)
async def request(context: Context, args: list[str]) -> ExitStatus:
    """Send one chat request and print its answer while it is streamed."""
    if not 1 <= len(args) <= 2:
        return finish(ExitStatus.BAD_INPUT, "request takes MODEL [FILE]")
    text = _read_text(args[1] if len(args) == 2 else "-")
    if isinstance(text, ValueError):
        return finish(ExitStatus.BAD_INPUT, str(text))
    body = {
        "model": args[0],
        "messages": [{"role": "user", "content": text}],
        "stream": True,
        "max_tokens": context.flags.max_tokens,
    }
    headers = {"Authorization": f"Bearer {context.flags.team_key}"}
    if context.flags.key:
        headers["Idempotency-Key"] = context.flags.key
    try:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=5)
        async with context.client.http().post(
            f"{context.client.url}/v1/chat/completions", json=body, headers=headers, timeout=timeout
        ) as response:
            if response.status != 200:
                return _print_refusal(response.status, await response.read())
            return await _print_stream(response)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return finish(ExitStatus.UNREACHABLE, f"{context.client.url}: {type(error).__name__}")


def _read_text(name: str) -> str | ValueError:
    try:
        text = sys.stdin.read() if name == "-" else Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return ValueError(f"FILE {name}: {error}")
    return text if text.strip() else ValueError(f"FILE {name}: is empty")


def _print_refusal(status: int, body: bytes) -> ExitStatus:
    try:
        error = orjson.loads(body)["error"]
    except (ValueError, KeyError, TypeError):
        return finish(ExitStatus.UNREACHABLE, f"status {status}")
    message = f"{error['message']} (run: {error['run']}, retry: {str(error['retry']).lower()})"
    if error["run"] == "unknown":
        return finish(ExitStatus.UNKNOWN, message)
    return finish(ExitStatus.UNREACHABLE if status >= 429 else ExitStatus.BAD_INPUT, message)


async def _print_stream(response: aiohttp.ClientResponse) -> ExitStatus:
    complete = False
    async for line in response.content:
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :].strip()
        if data == b"[DONE]":
            complete = True
            continue
        fields = orjson.loads(data)
        if "error" in fields:
            print(flush=True)
            return finish(ExitStatus.UNKNOWN, fields["error"]["message"])
        for choice in fields["choices"]:
            print(choice.get("delta", {}).get("content") or "", end="", flush=True)
    print(flush=True)
    if not complete:
        return finish(ExitStatus.UNKNOWN, "the answer ended before its end")
    return ExitStatus.DONE
