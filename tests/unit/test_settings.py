"""Validation of entry settings: all errors at once, each naming field and value."""

import json
from pathlib import Path

import pytest
from bench.settings_page import page as settings_page
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.reading import parse_settings

VALID = {
    "node": "e1",
    "data_centre": "a",
    "region": "south",
    "listen": "127.0.0.1:7100",
    "http_listen": "127.0.0.1:7101",
    "operator_listen": "127.0.0.1:7102",
    "operator_key": "0123456789abcdef",
    "keys": {"k1": "a-secret-of-the-test"},
    "current_key": "k1",
    "table_url": "http://127.0.0.1:9000",
    "objects_url": "http://127.0.0.1:9001",
    "vm_list_url": "http://127.0.0.1:9002",
}


def _parse_problems(**changes):
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps({**VALID, **changes}), EntrySettings)
    return caught.value.problems


def test_all_errors_are_reported_at_once():
    # Guards against reporting only the first error, which costs a restart per error.
    problems = _parse_problems(nod="x", listen="here", heartbeat_interval=0, seed="one")
    assert len(problems) == 4
    for field, value in (("nod", ""), ("listen", "here"), ("seed", "one")):
        assert any(line.startswith(f"{field}:") and value in line for line in problems)


@pytest.mark.parametrize(
    ("changes", "field"),
    [({"current_key": "k2"}, "current_key"), ({"orphan_grace": 5.0}, "orphan_grace")],
)
def test_conflicting_fields_are_rejected(changes, field):
    # Guards against a current key that is not in `keys`, and against a grace period so
    # short that permits of a dead entry are freed while its calls still run.
    assert [line.split(":")[0] for line in _parse_problems(**changes)] == [field]


@pytest.mark.parametrize(
    "changes",
    [
        {"operator_key": ["hunter2"]},
        {"operator_key": {"x": "hunter2"}},
        {"keys": "hunter2"},
        {"keys": {"k1": ["hunter2"]}},
        {"keys": {"k1": "fine", "k2": {"hunter2": 1}}},
    ],
)
def test_secrets_of_the_wrong_type_are_not_in_error_messages(changes):
    problems = _parse_problems(**changes)
    assert "hunter2" not in str(problems)
    assert any(next(iter(changes)) in problem for problem in problems)


def test_secrets_are_not_in_error_messages():
    # Guards against an invalid key that appears in the log.
    assert "hunter2" not in str(_parse_problems(operator_key="hunter2"))


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=5,
)


@seed(20261204)
@settings(max_examples=400, deadline=None)
@given(st.sampled_from([*VALID, "limits", "link_delays", "queue_timeout"]), VALUES)
def test_any_field_value_is_accepted_or_rejected(field, value):
    # Guards against a traceback at start-up instead of an error message.
    text = json.dumps({**VALID, field: value})
    try:
        assert isinstance(parse_settings(text, EntrySettings), EntrySettings)
    except SettingsError as error:
        assert error.problems


def test_settings_page_is_up_to_date():
    # Guards against documentation that no longer matches the settings.
    page = Path(__file__).resolve().parents[2] / "docs" / "settings.md"
    assert page.read_text() == settings_page()
