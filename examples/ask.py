"""Ask a running daemon through the `openai` client.

Start one with ``ferrydockd --embedded`` and run ``.venv/bin/python examples/ask.py``, with the
daemon's URL as an argument if it is another one.
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
