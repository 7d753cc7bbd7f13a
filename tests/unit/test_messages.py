"""Encoding and decoding of peer messages."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.peering import codec
from bulrushdrum._internal.peering.errors import FrameError
from bulrushdrum._internal.peering.shared_state_messages import RecordsAck

MESSAGE_TYPES = sorted(
    codec._UNION_NAMES, key=lambda message_type: message_type.__name__
)


@pytest.mark.parametrize(
    "message_type", MESSAGE_TYPES, ids=lambda message_type: message_type.__name__
)
def test_defaults_round_trip(message_type):
    # Guards against a field that is missing or misnamed in the message class.
    decoded = codec.decode(codec.encode(message_type()))
    assert type(decoded) is message_type
    assert codec.decode(codec.encode(decoded)) == decoded


@seed(20261204)
@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_arbitrary_bytes_decode_or_raise_frame_error(data):
    # Guards against other exceptions, which would end the greenlet of the connection.
    try:
        codec.decode(data)
    except FrameError:
        pass


def test_value_out_of_range_raises_frame_error():
    with pytest.raises(FrameError, match="RecordsAck"):
        codec.encode(RecordsAck(batch=-1))
