"""Validation of sidecar settings, with an error message for each invalid field."""

import json

import pytest

from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.reading import parse_settings
from bulrushdrum._internal.settings.sidecar import SidecarSettings

VALID = {
    "node": "s1",
    "data_centre": "dc1",
    "listen": "127.0.0.1:7100",
    "upstream_url": "http://127.0.0.1:9000",
    "keys": {"k1": "0123456789abcdef"},
    "current_key": "k1",
}


def parse(**changes):
    raw = {**VALID, **changes}
    raw = {name: value for name, value in raw.items() if value is not None}
    return parse_settings(json.dumps(raw), SidecarSettings)


def test_upstream_id_and_advertised_address_have_defaults():
    # Guards against peers that dial an empty address, and an upstream without an id.
    settings = parse()
    assert (settings.upstream_id, settings.advertised_address) == (
        "s1",
        "127.0.0.1:7100",
    )
    assert settings.engine_timeout < 5.0 and settings.kind == "engine"


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("node", "a b"),
        ("listen", "7100"),
        ("listen", None),
        ("upstream_url", "https://127.0.0.1:9000"),
        ("upstream_url", "http://127.0.0.1"),
        ("kind", "gpu"),
        ("kind", "service"),
        ("service", "ledger"),
        ("keys", {}),
        ("keys", {"k1": "short"}),
        ("current_key", "k2"),
        ("address_map", {"127.0.0.1:1": "nowhere"}),
        ("heartbeat_interval", 0),
        ("missed_heartbeats", 1),
        ("order_lease", 0.1),
        ("open_limit", 0),
        ("chunk_tokens", 1.5),
        ("max_pending_bytes", 10),
        ("heartbeat", 1),
    ],
)
def test_error_names_the_invalid_field(field, value):
    # Guards against a sidecar that starts with invalid settings.
    with pytest.raises(SettingsError) as raised:
        parse(**{field: value})
    expected_field = "service" if (field, value) == ("kind", "service") else field
    assert [problem for problem in raised.value.problems if expected_field in problem]
    assert "0123456789abcdef" not in str(raised.value)


def test_short_secret_is_not_in_error_message():
    # Guards against a secret in the log of a failed start.
    with pytest.raises(SettingsError) as raised:
        parse(keys={"k1": "hush"})
    assert "hush" not in str(raised.value)
