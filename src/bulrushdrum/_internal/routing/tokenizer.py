"""Conversion of prompt text to token ids.

Tokens are the bytes of the UTF-8 text, so any language can be represented and entries
and engines need no shared vocabulary.
"""


def encode_prompt(messages: list[dict]) -> tuple[int, ...]:
    """Return the token ids of chat messages, one line for each message.

    >>> encode_prompt([{"role": "user", "content": "a"}])[-2:]
    (97, 10)
    """
    lines = (f"{message['role']}: {message['content']}\n" for message in messages)
    return tuple("".join(lines).encode())
