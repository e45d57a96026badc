"""Send a streamed chat request to a running daemon with the `openai` client.

Start a daemon with ``ferrydockd --embedded`` and run ``.venv/bin/python examples/ask.py``. A daemon
at another address than http://127.0.0.1:7070 is given by its URL as the argument.
"""

import sys

import openai

daemon = sys.argv[1] if len(sys.argv) > 1 else "http://127.0.0.1:7070"
client = openai.OpenAI(api_key="demo-key", base_url=f"{daemon}/v1")
stream = client.chat.completions.create(
    model="draft-large",
    messages=[{"role": "user", "content": "Draft a petition about the drain in our street."}],
    stream=True,
)
for chunk in stream:
    print(chunk.choices[0].delta.content or "", end="", flush=True)
print()
