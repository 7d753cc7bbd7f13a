"""Cost of encoding and decoding messages: `python -m bench.slopes_messages`."""

import time

from bulrushdrum._internal.peering.codec import decode, encode
from bulrushdrum._internal.peering.process_messages import Beat
from bulrushdrum._internal.peering.request_messages import Step, Steps, Token, Tokens

ROUNDS = 7
CALLS = 400


def _microseconds(function, argument):
    """Return the minimum, median and maximum microseconds per call over the rounds."""
    times = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(CALLS):
            function(argument)
        times.append((time.perf_counter() - started) / CALLS * 1e6)
    times.sort()
    return times[0], times[ROUNDS // 2], times[-1]


def main():
    step = Step("entry-1-0123456789ab", 1, 512, 1, (), b"x" * 64)
    token = Token("entry-1-0123456789ab", 1, 512, 77, "word")
    cases = [
        ("beat", Beat("serving", 3, 4, 500, 300, 7)),
        ("1 step", Steps((step,))),
        ("32 steps", Steps((step,) * 32)),
        ("1 token", Tokens((token,))),
        ("32 tokens", Tokens((token,) * 32)),
    ]
    print("message       bytes   encode us min/med/max    decode us min/med/max")
    for name, message in cases:
        data = encode(message)
        one = "/".join(f"{value:.1f}" for value in _microseconds(encode, message))
        two = "/".join(f"{value:.1f}" for value in _microseconds(decode, data))
        print(f"{name:12} {len(data):6}   {one:>22}   {two:>22}")


if __name__ == "__main__":
    main()
