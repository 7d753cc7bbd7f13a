"""Merging of queued steps and tokens into frames."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.peering.connections import MAX_MERGED_BYTES, merge_queued
from bulrushdrum._internal.peering.request_messages import (
    Close,
    Step,
    Steps,
    Token,
    Tokens,
)

LARGE_ACTIVATION = bytes(MAX_MERGED_BYTES // 3)
queued_messages = st.one_of(
    st.builds(
        Step,
        request=st.text(max_size=3),
        activation=st.sampled_from([b"", LARGE_ACTIVATION]),
    ),
    st.builds(Token, request=st.text(max_size=3)),
    st.builds(Close, request=st.text(max_size=3)),
)


@seed(20261204)
@settings(max_examples=200, deadline=None)
@given(st.lists(queued_messages, max_size=20))
def test_merging_keeps_all_messages_in_order_within_size_limit(messages):
    # Guards against lost or reordered messages, and against an oversized frame, which
    # would close the connection each time the peer receives it.
    frames = merge_queued(messages)
    unmerged = []
    for frame in frames:
        match frame:
            case Steps(steps):
                assert sum(len(step.activation) for step in steps) <= MAX_MERGED_BYTES
                unmerged += steps
            case Tokens(tokens):
                unmerged += tokens
            case _:
                unmerged.append(frame)
    assert unmerged == messages


def test_run_of_steps_is_merged_into_one_message():
    # Guards against one frame per step, which takes up most of the time of a step.
    steps = [Step(str(number)) for number in range(50)]
    assert merge_queued(steps) == [Steps(tuple(steps))]
