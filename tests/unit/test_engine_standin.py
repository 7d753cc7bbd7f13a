"""The engine stand-in shows in its answer whether every layer ran once, in order."""

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
    """Engines in one process with the layers cut at `cuts`."""

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
        """Run one step on all engines and return the last result."""
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
def test_the_answer_depends_on_no_cut_chunk_request_or_attempt(
    cuts, chunk, attempt, request
):
    # Guards against an answer that a new attempt on other engines would change.
    chain = Chain(cuts)
    names = {"request": request, "attempt": attempt}
    assert chain.answer(PROMPT, 12, chunk, **names) == expected()


@pytest.mark.parametrize("fault", ["double_layer", "skip_layer"])
@pytest.mark.parametrize("layer", range(LAYERS))
def test_a_skipped_or_doubled_layer_changes_the_answer(fault, layer):
    # Guards against a stand-in that would hide a broken rule R1 from every test.
    chain = Chain()
    for engine in chain.engines:
        engine.faults = Faults(**{fault: layer})
    assert chain.answer(PROMPT, 12) != expected()


def test_layers_in_another_order_change_the_answer():
    # Guards against a digest in which the order of layers cancels out.
    chain = Chain()
    chain.engines[0], chain.engines[1] = chain.engines[1], chain.engines[0]
    first, second = chain.engines[:2]
    first.options.first_layer, second.options.first_layer = 0, 2
    assert chain.answer(PROMPT, 12) != expected()


def test_a_repeated_step_changes_the_answer():
    # Guards against a KV cache that a step sent twice would leave as it was.
    chain = Chain()
    chain.run(PROMPT, 0, PROMPT)
    first = chain.run(PROMPT, 20, [5])
    again = chain.run(PROMPT, 20, [5])
    assert (first["token"], first["text"]) != (again["token"], again["text"])


@pytest.mark.parametrize(
    "changed", [{"prompt": PROMPT[::-1]}, {"seed": 8}, {"version": "2"}]
)
def test_prompt_seed_and_version_change_the_answer(changed):
    # Guards against answers that another customer's request could also have.
    assert expected(**changed) != expected()


def test_lost_cache_is_an_error_and_the_journal_has_every_run():
    # Guards against a new engine that continues a sequence it never saw, and against
    # a journal from which the checker of R1 would miss a run.
    chain = Chain(cuts=())
    engine = chain.engines[0]
    assert chain.run(PROMPT, 20, [5])["error"] == "no_kv_cache"
    chain.answer(PROMPT, 3)
    lines = [line for run in engine.runs for line in run.lines()]
    places = {(line["layer"], line["position"]) for line in lines}
    assert len(lines) == len(places) == LAYERS * (len(PROMPT) + 2)
    engine.release([{"request": "r", "attempt": 1}])
    assert chain.run(PROMPT, 22, [5])["error"] == "no_kv_cache"


def test_prefixes_have_the_names_that_entries_use():
    # Guards against cache events that no entry can match with a prompt.
    prompt = PROMPT * 4
    assert prefix_hashes({"tokens": prompt})[0] == prefix_hash(prompt)


def test_the_prefix_cache_is_limited_and_its_events_have_gaps():
    # Guards against a stand-in kinder than the engines: no eviction, no lost events.
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
