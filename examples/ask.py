"""Ask a running daemon through the `openai` client.

Start one with ``ferrydockd --embedded`` and run ``python examples/ask.py``.
"""

import openai

client = openai.OpenAI(api_key="demo-key", base_url="http://127.0.0.1:7070/v1")
stream = client.chat.completions.create(
    model="draft-large",
    messages=[{"role": "user", "content": "Draft a petition about the drain in our street."}],
    stream=True,
)
for chunk in stream:
    print(chunk.choices[0].delta.content or "", end="", flush=True)
print()
