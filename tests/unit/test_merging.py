"""Steps and tokens queued for one peer leave in few frames, in their order."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.peering.connections import MAX_MERGED_BYTES, merge_queued
from bulrushdrum._internal.peering.messages import Close, Step, Steps, Token, Tokens

LARGE = bytes(MAX_MERGED_BYTES // 3)
queued = st.one_of(
    st.builds(
        Step, request=st.text(max_size=3), activation=st.sampled_from([b"", LARGE])
    ),
    st.builds(Token, request=st.text(max_size=3)),
    st.builds(Close, request=st.text(max_size=3)),
)


@seed(20261204)
@settings(max_examples=200, deadline=None)
@given(st.lists(queued, max_size=20))
def test_no_message_is_lost_moved_or_too_large(messages):
    # Guards against a lost or reordered step, and against a frame over the limit, which
    # would end the connection again and again.
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


def test_a_run_of_steps_is_one_frame():
    # Guards against one frame for each step, which costs most of the time of a step.
    steps = [Step(str(number)) for number in range(50)]
    assert merge_queued(steps) == [Steps(tuple(steps))]
