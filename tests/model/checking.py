"""Exhaustive exploration of the protocol models with minicheck.

A model is a function of the current state that yields `(label, next state)` pairs;
states are NamedTuples. A message that may be late, duplicated or reordered stays in a
set of the state permanently and can be delivered at any time; it is lost if it is never
delivered. A paused or crashed process is one whose steps are not taken.
"""

import os

from minicheck import Protocol, check_safety

MAX_STATES = 2_000_000


def _protocol(initial, steps, invariants):
    kind = type(initial)
    checks = {
        name: lambda fields, check=check: check(kind(**fields))
        for name, check in invariants.items()
    }
    name = steps.__qualname__
    return Protocol(name, False, kind._fields, initial, steps, checks)


def prove(initial, steps, invariants, reachable, expected_states):
    """Check that all invariants hold in every reachable state.

    Each predicate of `reachable` must be true in some state; otherwise the invariants
    might hold only because nothing happens. `expected_states` is the number stated in
    `docs/promises.md`; it detects a change that unintentionally makes a model smaller.
    """
    missing = dict(reachable)

    def note(state):
        for name in [name for name, check in missing.items() if check(state)]:
            del missing[name]
        return True

    result = check_safety(
        _protocol(initial, steps, {**invariants, "note": note}), MAX_STATES
    )
    if os.environ.get("SHOW_STATES"):
        print(steps.__qualname__, result["reachable_states"])
    assert result["exhaustive"], result["incomplete_reason"]
    for name in invariants:
        found = result["properties"][name]
        assert found["holds"] is True, describe(name, found["counterexample"])
    assert not missing, f"never reached: {sorted(missing)}"
    assert result["reachable_states"] == expected_states


def refute(initial, steps, invariants, violated):
    """Check that the invariant `violated` fails; return the labels of its trace.

    The breadth-first search stops at the first violation, whose trace is the shortest.
    """
    found = []

    def watch(state):
        if not invariants[violated](state):
            found.append(state)
        return not found

    def steps_until_found(state):
        return [] if found else steps(state)

    steps_until_found.__qualname__ = steps.__qualname__
    result = check_safety(
        _protocol(initial, steps_until_found, {violated: watch}), MAX_STATES
    )
    assert result["properties"][violated]["holds"] is False, (
        f"{violated} is not violated in {result['reachable_states']} states, "
        f"exhaustive: {result['exhaustive']}"
    )
    trace = result["properties"][violated]["counterexample"]
    return [step["label"] for step in trace[1:]]


def describe(name, trace):
    labels = "\n".join(f"  {step['label']}" for step in trace)
    return f"{name} is violated:\n{labels}\n  {trace[-1]['state']}"
