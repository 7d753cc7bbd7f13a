"""Any input from callers is either accepted or rejected with a caller error."""

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


def _parse(raw_body):
    return parse_chat_request(raw_body, "", CONTRACT, SETTINGS)


@seed(20261204)
@settings(max_examples=1000, deadline=None)
@given(st.dictionaries(FIELDS, VALUES, max_size=3))
def test_any_json_body_is_accepted_or_rejected(changes):
    # Guards against invalid input that raises an unexpected exception: the caller would
    # get `internal_error` with an unknown outcome.
    try:
        parsed = _parse(json.dumps({**VALID, **changes}).encode())
    except CallerError as error:
        assert (error.code, error.ran) == ("invalid_request", "no")
    else:
        assert parsed.request.prompt and parsed.request.max_tokens >= 1


@seed(20261204)
@settings(max_examples=500, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_accepted_or_rejected(raw_body):
    # Guards against an unexpected exception on bytes that are not JSON or not UTF-8.
    try:
        _parse(raw_body)
    except CallerError as error:
        assert error.code == "invalid_request"


def test_deeply_nested_json_is_rejected():
    # Guards against a `RecursionError` of the JSON parser that is not handled.
    with pytest.raises(CallerError, match="not JSON"):
        _parse(b"[" * 100_000)


def test_contract_determines_non_idempotent_requests():
    # Guards against a payment request that is retried after the loss of a stage.
    body = {**VALID, "metadata": {"kind": "payment"}}
    assert _parse(json.dumps(body).encode()).request.non_idempotent
    assert not _parse(json.dumps(VALID).encode()).request.non_idempotent


def test_unexpected_error_has_unknown_outcome():
    # Guards against reporting "did not run" when the request may have run.
    error = to_caller_error(RuntimeError("boom"))
    assert (error.code, error.ran, error.status) == ("internal_error", "unknown", 502)
