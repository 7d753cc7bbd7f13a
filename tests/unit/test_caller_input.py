"""What callers send is taken or refused with a clear error, never anything else."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.caller.completions import parse_chat_request
from bulrushdrum._internal.caller.errors import CallerError, to_caller_error
from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.world.contracts import Contract

ADDRESS = "127.0.0.1:7100"
URL = "http://127.0.0.1:9000"
SETTINGS = EntrySettings(
    *("e1", "a", "south", ADDRESS, ADDRESS, ADDRESS, "k" * 16),
    *({"k1": "a-secret-of-the-test"}, "k1", URL, URL, URL),
)
CONTRACT = Contract("warwick", non_idempotent=("chat:payment",))
VALID = {"model": "m", "messages": [{"role": "user", "content": "how much?"}]}

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
FIELDS = st.sampled_from(
    ["model", "messages", "max_tokens", "seed", "metadata", "stream", "other"]
)


def _parse(raw):
    return parse_chat_request(raw, "", CONTRACT, SETTINGS)


@seed(20261204)
@settings(max_examples=1000, deadline=None)
@given(st.dictionaries(FIELDS, VALUES, max_size=3))
def test_any_body_is_taken_or_refused(changes):
    # Guards against a body that looks like a fault of the router, whose outcome the
    # caller would have to take as unknown.
    try:
        parsed = _parse(json.dumps({**VALID, **changes}).encode())
    except CallerError as error:
        assert (error.code, error.ran) == ("invalid_request", "no")
    else:
        assert parsed.request.prompt and parsed.request.max_tokens >= 1


@seed(20261204)
@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_taken_or_refused(raw):
    # Guards against bytes that are not JSON, not UTF-8, or nested too deeply.
    try:
        _parse(raw)
    except CallerError as error:
        assert error.code == "invalid_request"


def test_deep_nesting_is_refused():
    with pytest.raises(CallerError, match="not JSON"):
        _parse(b"[" * 100_000)


def test_the_contract_decides_what_is_non_idempotent():
    # Guards against a payment that is run again after a lost stage.
    body = {**VALID, "metadata": {"kind": "payment"}}
    assert _parse(json.dumps(body).encode()).request.non_idempotent
    assert not _parse(json.dumps(VALID).encode()).request.non_idempotent


def test_an_unforeseen_error_leaves_the_outcome_open():
    # Guards against "did not run" said of a request whose fate is not known.
    error = to_caller_error(RuntimeError("boom"))
    assert (error.code, error.ran, error.status) == ("internal_error", "unknown", 502)
