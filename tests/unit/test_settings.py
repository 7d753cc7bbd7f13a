"""Settings are checked whole; each fault names the field, the value and a remedy."""

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


def _problems(**changes):
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps({**VALID, **changes}), EntrySettings)
    return caught.value.problems


def test_all_faults_are_reported_at_once():
    # Guards against an operator who mends one field a start.
    problems = _problems(nod="x", listen="here", heartbeat_interval=0, seed="one")
    assert len(problems) == 4
    for field, value in (("nod", ""), ("listen", "here"), ("seed", "one")):
        assert any(line.startswith(f"{field}:") and value in line for line in problems)


@pytest.mark.parametrize(
    ("changes", "field"),
    [({"current_key": "k2"}, "current_key"), ({"orphan_grace": 5.0}, "orphan_grace")],
)
def test_fields_that_contradict_each_other_are_refused(changes, field):
    # Guards against a dialling key that nobody has, and permits freed too early.
    assert [line.split(":")[0] for line in _problems(**changes)] == [field]


def test_secrets_are_not_shown():
    # Guards against a key in a log because its field had a fault.
    assert "hunter2" not in str(_problems(operator_key="hunter2"))


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
def test_any_value_of_a_field_is_taken_or_refused(field, value):
    # Guards against a traceback at start-up in place of a message.
    text = json.dumps({**VALID, field: value})
    try:
        assert isinstance(parse_settings(text, EntrySettings), EntrySettings)
    except SettingsError as error:
        assert error.problems


def test_the_page_shows_the_fields_of_the_code():
    # Guards against an operators' page that lags behind the settings.
    page = Path(__file__).resolve().parents[2] / "docs" / "settings.md"
    assert page.read_text() == settings_page()
