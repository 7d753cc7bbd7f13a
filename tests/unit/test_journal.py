"""Tests that the journal checker accepts correct histories and detects each fault."""

import pytest
from bench.journal import (
    Attempt,
    Delivery,
    RetryBudget,
    Run,
    check_history,
    parse_journal,
)
from hypothesis import given, seed, settings
from hypothesis import strategies as st

LAYERS = 4


@st.composite
def histories(draw, min_attempts=1):
    """Generate a correct history of several requests, some of them with retries."""
    runs, deliveries, order = [], [], 0
    for index in range(draw(st.integers(1, 3))):
        request = f"r{index}"
        prompt, answer = draw(st.integers(1, 4)), draw(st.integers(1, 4))
        attempts = draw(st.integers(min_attempts, 3))
        for number in range(1, attempts + 1):
            last = number == attempts
            complete = prompt + answer - 1
            length = complete if last else draw(st.integers(1, complete))
            boundary = draw(st.integers(1, LAYERS - 1))
            for position in range(length):
                for layer in range(LAYERS):
                    order += 1
                    engine = f"e{int(layer >= boundary)}"
                    runs.append(Run(engine, request, number, position, layer, order))
        expected = tuple(100 * index + offset for offset in range(answer))
        deliveries.append(
            Delivery(
                request,
                prompt,
                tuple((prompt + offset, t) for offset, t in enumerate(expected)),
                "answered",
                tuple(
                    Attempt(number, "stage lost" if number > 1 else "")
                    for number in range(1, attempts + 1)
                ),
                expected=expected,
            )
        )
    return runs, deliveries


def violated_rules(runs, deliveries, **options):
    verdict = check_history(runs, deliveries, LAYERS, **options)
    return {violation.rule for violation in verdict.violations}


@seed(20261204)
@settings(max_examples=60, deadline=None)
@given(histories())
def test_correct_history_passes(history):
    # Guards against false positives, for which the checker would be disabled.
    assert violated_rules(*history) == set()


def layer_twice(runs, deliveries, index):
    runs.append(runs[index]._replace(order=len(runs) + 1))


def layer_skipped(runs, deliveries, index):
    # Removed from all attempts, so also from the one that computed the last token.
    removed = runs[-1 - index % LAYERS]
    cell = (removed.request, removed.position, removed.layer)
    runs[:] = [run for run in runs if (run.request, run.position, run.layer) != cell]


def layers_swapped(runs, deliveries, index):
    index = index // LAYERS * LAYERS
    one, two = runs[index], runs[index + 1]
    runs[index] = one._replace(order=two.order)
    runs[index + 1] = two._replace(order=one.order)


def position_skipped(runs, deliveries, index):
    first_shifted = runs[index]
    runs[:] = [
        run
        if (run.request, run.attempt) != (first_shifted.request, first_shifted.attempt)
        or run.position < first_shifted.position
        else run._replace(position=run.position + 1)
        for run in runs
    ]


def stale_attempt_ran(runs, deliveries, index):
    newest = runs[-1]
    runs.append(newest._replace(attempt=newest.attempt - 1, order=newest.order + 1))


def cause_missing(runs, deliveries, index):
    deliveries[-1] = deliveries[-1]._replace(attempts=(Attempt(1), Attempt(2, "")))


def attempt_not_recorded(runs, deliveries, index):
    deliveries[-1] = deliveries[-1]._replace(attempts=(Attempt(1),))


def retried_without_fault(runs, deliveries, index):
    deliveries[-1] = deliveries[-1]._replace(undisturbed=True)


def non_idempotent_retried(runs, deliveries, index):
    deliveries[-1] = deliveries[-1]._replace(non_idempotent=True)


def token_changed(runs, deliveries, index):
    last = deliveries[-1]
    tokens = (*last.tokens[:-1], (last.tokens[-1][0], last.tokens[-1][1] + 7))
    deliveries[-1] = last._replace(tokens=tokens)


def token_lost(runs, deliveries, index):
    deliveries[-1] = deliveries[-1]._replace(tokens=deliveries[-1].tokens[:-1])


def token_doubled(runs, deliveries, index):
    tokens = deliveries[-1].tokens
    deliveries[-1] = deliveries[-1]._replace(tokens=(*tokens, tokens[-1]))


def ran_despite_refusal(runs, deliveries, index):
    deliveries[-1] = deliveries[-1]._replace(outcome="not_run", tokens=())


@pytest.mark.parametrize(
    "mutate, rule",
    [
        (layer_twice, "R1"),
        (layer_skipped, "R2"),
        (layers_swapped, "R1"),
        (position_skipped, "R1"),
        (stale_attempt_ran, "R3"),
        (cause_missing, "R4"),
        (attempt_not_recorded, "R4"),
        (retried_without_fault, "R4"),
        (non_idempotent_retried, "R5"),
        (token_changed, "R2"),
        (token_lost, "R2"),
        (token_doubled, "R3"),
        (ran_despite_refusal, "not_run"),
    ],
)
@seed(20261204)
@settings(max_examples=40, deadline=None)
@given(history=histories(min_attempts=2), data=st.data())
def test_each_fault_is_detected(mutate, rule, history, data):
    # Guards against a checker that does not detect this kind of fault.
    runs, deliveries = history
    mutate(runs, deliveries, data.draw(st.integers(0, len(runs) - 1)))
    assert rule in violated_rules(runs, deliveries)


@seed(20261204)
@settings(max_examples=20, deadline=None)
@given(histories(min_attempts=2))
def test_retries_over_the_budget_are_detected(history):
    # Guards against unlimited retries, each of which is correct by itself.
    assert "R6" in violated_rules(*history, budget=RetryBudget(share=0.1, reserve=0))


@pytest.mark.parametrize("line", ["{", "[]", '{"request": "r"}', '{"attempt": "1"}'])
def test_invalid_journal_line_is_rejected(line):
    # Guards against a truncated journal that is accepted as a shorter one.
    with pytest.raises(ValueError, match="line 1"):
        parse_journal("e1", line)
