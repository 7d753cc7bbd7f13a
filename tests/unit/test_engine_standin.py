"""Tests that the stand-in's answer reveals layers that did not run once in order."""

import random

import pytest
from bench.standins.batching import (
    BatchingEngine,
    EngineOptions,
    Faults,
    prefix_hashes,
)
from bench.standins.model_digest import expected_answer
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.routing.chains import prefix_hash

LAYERS = 6
PROMPT = tuple(range(40, 60))


class Chain:
    """A chain of engines in one process, with stage boundaries at `cuts`."""

    def __init__(self, cuts=(2, 4), **options):
        bounds = [0, *cuts, LAYERS]
        self.engines = [
            BatchingEngine(
                EngineOptions(
                    first_layer=first, end_layer=end, model_layers=LAYERS, **options
                ),
                random.Random(1),
            )
            for first, end in zip(bounds, bounds[1:], strict=False)
        ]
        for engine in self.engines:
            engine.start()

    def run(self, prompt, position, tokens, request="r", attempt=1, seed=7):
        """Run one step on all engines and return the result of the last one."""
        step = {
            "request": request,
            "attempt": attempt,
            "position": position,
            "count": len(tokens),
            "seed": seed,
            "tokens": list(tokens),
        }
        for engine in self.engines:
            (result,) = engine.submit([dict(step)])
            step["activation"] = result.get("activation")
        return result

    def answer(self, prompt, max_tokens, chunk=1000, **names):
        for start in range(0, len(prompt), chunk):
            result = self.run(prompt, start, prompt[start : start + chunk], **names)
        tokens = [result["token"]]
        while len(tokens) < max_tokens and not result["stop"]:
            position = len(prompt) + len(tokens) - 1
            result = self.run(prompt, position, [tokens[-1]], **names)
            tokens.append(result["token"])
        return tokens


def expected(prompt=PROMPT, max_tokens=12, seed=7, version="1"):
    answer = expected_answer(prompt, "warwick-7b", LAYERS, seed, max_tokens, version)
    return [step.token for step in answer]


@seed(20261204)
@settings(max_examples=30, deadline=None)
@given(
    st.sets(st.integers(1, LAYERS - 1)).map(sorted),
    st.integers(1, 25),
    st.integers(1, 9),
    st.text(min_size=1, max_size=5),
)
def test_answer_is_independent_of_cuts_chunks_request_and_attempt(
    cuts, chunk, attempt, request
):
    # Guards against an answer that changes when it is retried on other engines.
    chain = Chain(cuts)
    names = {"request": request, "attempt": attempt}
    assert chain.answer(PROMPT, 12, chunk, **names) == expected()


@pytest.mark.parametrize("fault", ["double_layer", "skip_layer"])
@pytest.mark.parametrize("layer", range(LAYERS))
def test_skipped_or_doubled_layer_changes_the_answer(fault, layer):
    # Guards against a stand-in that hides violations of rule R1 from all tests.
    chain = Chain()
    for engine in chain.engines:
        engine.faults = Faults(**{fault: layer})
    assert chain.answer(PROMPT, 12) != expected()


def test_swapped_layers_change_the_answer():
    # Guards against a digest that is independent of the order of layers.
    chain = Chain()
    chain.engines[0], chain.engines[1] = chain.engines[1], chain.engines[0]
    first, second = chain.engines[:2]
    first.options.first_layer, second.options.first_layer = 0, 2
    assert chain.answer(PROMPT, 12) != expected()


def test_repeated_step_changes_the_answer():
    # Guards against a KV cache that ignores a duplicated step.
    chain = Chain()
    chain.run(PROMPT, 0, PROMPT)
    first = chain.run(PROMPT, 20, [5])
    again = chain.run(PROMPT, 20, [5])
    assert (first["token"], first["text"]) != (again["token"], again["text"])


@pytest.mark.parametrize(
    "changed", [{"prompt": PROMPT[::-1]}, {"seed": 8}, {"version": "2"}]
)
def test_answer_depends_on_prompt_seed_and_version(changed):
    # Guards against answers that a request of another customer could also produce.
    assert expected(**changed) != expected()


def test_missing_kv_cache_is_an_error_and_journal_is_complete():
    # Guards against a restarted engine that continues a sequence without its KV cache,
    # and against a journal that lacks runs, so that the checker of R1 misses them.
    chain = Chain(cuts=())
    engine = chain.engines[0]
    assert chain.run(PROMPT, 20, [5])["error"] == "no_kv_cache"
    chain.answer(PROMPT, 3)
    lines = [line for run in engine.runs for line in run.lines()]
    cells = {(line["layer"], line["position"]) for line in lines}
    assert len(lines) == len(cells) == LAYERS * (len(PROMPT) + 2)
    engine.release([{"request": "r", "attempt": 1}])
    assert chain.run(PROMPT, 22, [5])["error"] == "no_kv_cache"


def test_prefix_hashes_match_those_of_entries():
    # Guards against cache events whose hashes no entry can match with a prompt.
    prompt = PROMPT * 4
    assert prefix_hashes({"tokens": prompt})[0] == prefix_hash(prompt)


def test_prefix_cache_is_limited_and_its_events_have_gaps():
    # Guards against an unrealistic stand-in, which never evicts or loses events.
    chain = Chain(cuts=(), prefix_blocks=4, cache_event_loss=0.3)
    chain.engines[0].options.cache_event_delay_ms = 0.0
    for number in range(20):
        prompt = [number] * 192
        chain.run(prompt, 0, prompt, request=f"r{number}")
    events = chain.engines[0].prefix_cache.events(after=0)
    sequences = [event["sequence"] for event in events]
    assert sequences == sorted(set(sequences)) and len(sequences) < max(sequences)
    assert {event["stored"] for event in events} == {True, False}
    assert len(chain.engines[0].prefix_cache._blocks) == 4
    assert chain.answer(PROMPT, 12) == expected()
