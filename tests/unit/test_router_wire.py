"""Tests that the platform's messages are either decoded completely or rejected."""

import base64
import json

import pytest
from tests.unit.pool_fakes import make_engine

from bulrushdrum._internal.gateway.messages import ForwardingMetadata
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.platform.errors import MalformedRow
from bulrushdrum._internal.platform.headers import (
    forwarding_headers,
    parse_request_metadata,
    parse_response_metadata,
)
from bulrushdrum._internal.platform.router_config import (
    decode_configuration,
    decode_upstream,
)
from bulrushdrum._internal.platform.router_settings import read_router_settings
from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.world.routes import RequestKind
from bulrushdrum._internal.world.upstreams import LayerRange, UpstreamState

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "H.example",
            "prefix": "/a/",
            "route-kind": "streaming",
            "timeout-ms": 20000,
            "goal-ms": 500,
            "priority": 1,
            "split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max-attempts": 2,
            "resumable": True,
            "gap-goal-ms": 250,
        },
        {
            "name": "r-2",
            "host": "h.example",
            "prefix": "/a/b/",
            "route-kind": "non_idempotent",
            "timeout-ms": 800,
            "service": "s2",
            "public": True,
        },
    ],
    "services": [
        {"name": "s1", "health-path": "/healthz", "max-conns": 10},
        {"name": "s2", "health-path": "/healthz", "max-conns": 20},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 1000,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [{"name": "t1", "api-keys": ["k1", "k2"], "priority": 1}],
}
REGISTRATION = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "seq-no": 4,
    "born": 17,
    "route-kind": "a100",
    "layers": {"from": 20, "target": 30, "version": 1},
}


def encode(value):
    return json.dumps(value).encode()


def test_configuration_is_decoded_and_units_are_converted():
    configuration = decode_configuration(encode(CONFIGURATION))
    route = configuration.routes.find("h.example", "/a/x")
    assert route.kind is RequestKind.STREAMING
    assert (route.timeout, route.goal, route.gap_goal) == (20.0, 0.5, 0.25)
    assert [share.weight for share in route.shares] == [90.0, 10.0]
    assert configuration.routes.find("h.example", "/a/b/c").name == "r-2"
    assert configuration.routes.find("other", "/a/") is None
    assert configuration.teams_by_key["k2"].name == "t1"
    assert configuration.limits.body_bytes == 1000


@pytest.mark.parametrize("field", ["version", "routes", "services"])
def test_configuration_without_required_field_is_rejected(field):
    # Guards against applying part of a configuration.
    incomplete = {name: value for name, value in CONFIGURATION.items() if name != field}
    with pytest.raises(MalformedRow):
        decode_configuration(encode(incomplete))


def test_registration_is_decoded():
    upstream = decode_upstream("i-1", encode(REGISTRATION))
    assert upstream.kind == "a100"
    assert upstream.layers == LayerRange(20, 30)
    assert upstream.state is UpstreamState.SERVING
    assert upstream.born == 17


def test_registration_without_layers_is_decoded():
    upstream = decode_upstream("i-1", encode({**REGISTRATION, "layers": None}))
    assert upstream.layers is None


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"service": 5},
        {"address": "nowhere"},
        {"address": "10.0.0.9:99999"},
        {"slots": "many"},
        {"zone": None},
        {"layers": {"from": "x", "target": 3}},
    ],
)
def test_malformed_registration_is_rejected(change):
    # Guards against requests to addresses that no server registered, from rows of
    # another writer.
    with pytest.raises(MalformedRow):
        decode_upstream("i-1", encode({**REGISTRATION, **change}))


def test_registration_that_is_not_json_is_rejected():
    with pytest.raises(MalformedRow):
        decode_upstream("i-1", base64.b64decode("AAECAwQ="))


def test_router_headers_of_callers_are_not_forwarded():
    # Guards against callers that choose their own team, path or upstream.
    metadata = parse_request_metadata(
        [
            (b"bulrushdrum-attempt-id", b"r1"),
            (b"bulrushdrum-tenant", b"forged"),
            (b"bulrushdrum-hop-count", b"10.0.0.1:1=0-80"),
            (b"bulrushdrum-expect-instance", b"i-9"),
            (b"bulrushdrum-deadline-ms", b"1500"),
            (b"authorization", b"Token k1"),
            (b"bulrushdrum-token-count", b"1460,80"),
            (b"x-other", b"kept"),
        ]
    )
    assert dict(metadata.forwarded) == {
        b"bulrushdrum-attempt-id": b"r1",
        b"bulrushdrum-token-count": b"1460,80",
        b"x-other": b"kept",
    }
    assert (metadata.api_key, metadata.seconds_left) == ("k1", 1.5)
    assert (metadata.generation.prompt, metadata.generation.max_output) == (
        1460.0,
        80.0,
    )


@pytest.mark.parametrize("text", [b"-5", b"0", b"inf", b"nan", b"1e308", b"", b"x"])
def test_token_numbers_that_cannot_be_are_taken_as_unknown(text):
    # Guards against estimates that fail, or are wrong for everybody, because of a
    # number that one caller states.
    def parse(counts, expected):
        headers = [
            (b"bulrushdrum-token-count", counts),
            (b"bulrushdrum-length-hint", expected),
        ]
        return parse_request_metadata(headers).generation

    assert parse(b"100,20", text) == (100.0, 20.0, None)
    assert parse(b"100," + text, b"7") == (100.0, 0.0, 7.0)
    assert parse(text + b",20", b"7") is None


def test_prompt_parts_are_all_but_the_last():
    # Guards against refusing a request for its own last part, and against ids that are
    # not hexadecimal, which would make announcements large.
    def parse(value):
        return parse_request_metadata(
            [(b"bulrushdrum-prefix-hash", value)]
        ).shared_parts

    assert parse(b"5C1E07a2:800, 91bd:410,e4402b7d:250") == ("5c1e07a2", "91bd")
    assert parse(b"5c1e:800") == ()
    assert parse(b"") == ()
    first, second = parse(b"\xc3\xa9:1,5c:x,:3,,5g:1," + b"a" * 33 + b":1,7:1")
    assert (first, len(second)) == ("5c", 32)
    assert len(parse(b"a:1," * 500 + b"b:1")) == 32


def test_path_header_lists_upstreams_and_layers():
    hops = (
        Hop(make_engine("x", address="10.0.0.1:80"), LayerRange(0, 20)),
        Hop(make_engine("y", address="10.0.0.2:80"), LayerRange(20, 40)),
    )
    headers = dict(
        forwarding_headers(ForwardingMetadata("x", 1.5, "t1", hops, b"12", 3))
    )
    assert headers[b"bulrushdrum-hop-count"] == b"10.0.0.1:80=0-20,10.0.0.2:80=20-40"
    assert headers[b"bulrushdrum-deadline-ms"] == b"1500"
    assert headers[b"bulrushdrum-tenant"] == b"t1"
    assert headers[b"last-event-id"] == b"12"


def test_refusal_names_faulty_upstream():
    metadata = parse_response_metadata(
        200, [(b"bulrushdrum-not-executed", b"1"), (b"at-server", b"10.0.0.2:80")]
    )
    assert metadata.has_not_run
    assert metadata.at_fault == "10.0.0.2:80"
    assert not metadata.signed


def test_missing_setting_is_named(tmp_path):
    path = tmp_path / "boot.json"
    path.write_text('{"node-name": "x"}')
    with pytest.raises(SettingsError, match="listen"):
        read_router_settings(str(path))


@pytest.mark.parametrize(
    "bounds",
    [
        {},
        {"contact-ms": 3000, "drain-ms": 2000, "config-apply-ms": 2000},
        {"contact-ms": 5000, "drain-ms": 4000, "config-apply-ms": 4000},
        {"contact-ms": 5000, "drain-ms": 4000, "config-apply-ms": 500},
    ],
)
def test_a_change_is_read_within_the_time_in_which_it_must_be_in_force(
    tmp_path, bounds
):
    # A change is read at the latest after the spacing and one call that times out on an
    # unresponsive connection; the platform allows `contact-ms` for the second.
    path = tmp_path / "boot.json"
    raw = {
        "node-name": "r1",
        "zone": "a",
        "ip": "127.0.0.1",
        "listen": {"front": "127.0.0.1:1", "ready-addr": "127.0.0.1:2"},
        "internal-ports": [3, 4],
        "bounds": bounds,
        "platform": {"address": "127.0.0.1:5"},
    }
    path.write_text(json.dumps(raw))
    settings = read_router_settings(str(path))
    apply_seconds = min(
        bounds.get("drain-ms", 2000), bounds.get("config-apply-ms", 2000)
    )
    assert 0 < settings.feed_spacing <= apply_seconds / 1000 / 4
    contact_seconds = bounds.get("contact-ms", 3000) / 1000
    assert settings.feed_wait + settings.store_timeout < contact_seconds


def test_unreadable_settings_file_is_reported(tmp_path):
    with pytest.raises(SettingsError, match="cannot be read"):
        read_router_settings(str(tmp_path / "missing.json"))


def test_prompt_parts_are_told_apart_whatever_the_length_of_their_ids():
    # Guards against a part that crashes upstreams and is never refused, because routers
    # do not read its id.
    def parts(*ids):
        value = b",".join(b"%s:5" % part for part in (*ids, b"07"))
        return parse_request_metadata(
            [(b"bulrushdrum-prefix-hash", value)]
        ).shared_parts

    ids = [b"A" * count for count in (1, 31, 32, 33, 40, 64, 65, 128, 5000)]
    found = parts(*ids)
    assert len(set(found)) == len(ids)
    assert found == tuple(parts(part.lower())[0] for part in ids)
    # Other routers and earlier releases know short ids as they were sent.
    assert found[2] == "a" * 32
    assert max(map(len, found)) == 32
