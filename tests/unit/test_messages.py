"""Frames decode to what was encoded, and bad bytes raise `FrameError`."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.peering import codec
from bulrushdrum._internal.peering import messages as wire
from bulrushdrum._internal.peering.errors import FrameError

KINDS = sorted(codec._UNION_NAMES, key=lambda kind: kind.__name__)


@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_defaults_survive_a_round_trip(kind):
    # Guards against a field of the schema that the message class misses or misnames.
    decoded = codec.decode(codec.encode(kind()))
    assert type(decoded) is kind
    assert codec.decode(codec.encode(decoded)) == decoded


@seed(20261204)
@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_arbitrary_bytes_decode_or_raise_frame_error(data):
    # Guards against an unexpected exception that would end the connection's greenlet.
    try:
        codec.decode(data)
    except FrameError:
        pass


def test_value_out_of_range_is_refused():
    with pytest.raises(FrameError, match="RecordsAck"):
        codec.encode(wire.RecordsAck(batch=-1))
