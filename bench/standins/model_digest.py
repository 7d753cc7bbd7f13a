"""A toy model whose answer shows whether every layer ran exactly once, in order.

Each layer keeps one running digest per sequence, which represents its KV cache, and
folds it and the layer's own constant into the activation of each position. A layer that
is skipped, repeated or out of order changes every later activation, and so the tokens.
The next token depends only on the prompt, the positions, the layers, the model, its
version and the seed; it is independent of the request id, the attempt and the engine.

>>> answer = expected_answer((5, 6, 7), "warwick-7b", layers=4, seed=1, max_tokens=3)
>>> [step.position for step in answer]
[3, 4, 5]
"""

import hashlib
import struct
from typing import NamedTuple

_MODULUS = (1 << 61) - 1
_CACHE_FACTOR = 0x1F3D5B79A8C6E1
_ACTIVATION_FACTOR = 0x0B4F2D9C7E5A13
_MIX_FACTOR = 0x16A09E667F3BCC9
POSITION_BYTES = 8
STOP_TOKEN = 0
# One token in 97 is the stop token, so that answers of 20 to 50 tokens mostly reach
# their limit and some stop early.
_STOP_PERIOD = 97

WORDS = (
    "the river runs past a market where people trade wool salt grain and iron for coin "
    "every morning bells call clerks to open books that hold each name with its due in "
    "ink on pages bound by thread while carts wait near old stone steps under grey sky "
    "then noon brings rain over roofs of slate so lamps are lit again as doors close "
    "along narrow lanes until evening quiet falls"
).split()


class GeneratedToken(NamedTuple):
    """One token of an answer; `position` counts from the first prompt token."""

    position: int
    token: int
    text: str
    stop: bool


def layer_constant(model: str, model_version: str, layer: int) -> int:
    """Return the number that represents the weights of one layer."""
    name = f"{model}\0{model_version}\0{layer}".encode()
    return int.from_bytes(hashlib.blake2b(name, digest_size=7).digest(), "big")


def embed(tokens) -> list[int]:
    """Return the input activations of layer 0, one number per position."""
    return [(token + 1) * _MIX_FACTOR % _MODULUS for token in tokens]


def run_layer(constant: int, cache: int, activations: list[int]) -> int:
    """Run one layer over consecutive positions, in place; return the new cache."""
    for index, activation in enumerate(activations):
        cache = (cache * _CACHE_FACTOR + activation + constant) % _MODULUS
        activations[index] = (
            activation * _ACTIVATION_FACTOR + cache + constant
        ) % _MODULUS
    return cache


def sample(activation: int, seed: int, position: int) -> GeneratedToken:
    """Return the token at `position`, given the last layer's activation before it."""
    text = f"{activation}:{seed}:{position}".encode()
    value = int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
    if value % _STOP_PERIOD == 0:
        return GeneratedToken(position, STOP_TOKEN, "", True)
    index = value % len(WORDS)
    return GeneratedToken(position, index + 1, WORDS[index] + " ", False)


def pack_activations(activations: list[int]) -> bytes:
    """Encode activations, `POSITION_BYTES` per position."""
    return struct.pack(f"!{len(activations)}Q", *activations)


def unpack_activations(data: bytes) -> list[int]:
    """Decode packed activations; raises `ValueError` for an incomplete position."""
    if len(data) % POSITION_BYTES:
        raise ValueError(
            f"activation of {len(data)} bytes: not a multiple of {POSITION_BYTES}"
        )
    return list(struct.unpack(f"!{len(data) // POSITION_BYTES}Q", data))


def expected_answer(
    prompt, model, layers, seed, max_tokens, model_version="1"
) -> list[GeneratedToken]:
    """Compute the complete answer to `prompt`, including any stop token."""
    constants = [layer_constant(model, model_version, layer) for layer in range(layers)]
    caches = [0] * layers
    answer = []
    tokens = list(prompt)
    position = len(tokens)
    while len(answer) < max_tokens:
        activations = embed(tokens)
        for layer, constant in enumerate(constants):
            caches[layer] = run_layer(constant, caches[layer], activations)
        answer.append(sample(activations[-1], seed, position))
        if answer[-1].stop:
            break
        tokens = [answer[-1].token]
        position += 1
    return answer
