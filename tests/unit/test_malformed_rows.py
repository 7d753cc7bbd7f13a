"""Rows and reports of other writers with odd types, sizes and nesting."""

import base64
import copy
import json

import pytest
from bench.standins.path_server import PathServer
from hypothesis import given
from hypothesis import strategies as st
from tests.unit.test_router_wire import CONFIGURATION

from bulrushdrum._internal.configuration.store import ConfigStore
from bulrushdrum._internal.coordination.router_registry import RouterRegistry
from bulrushdrum._internal.platform.engine_calls import EngineCalls
from bulrushdrum._internal.platform.errors import MalformedRow
from bulrushdrum._internal.platform.router_config import (
    decode_configuration,
    decode_upstream,
)
from bulrushdrum._internal.platform.rows import StoredRow, _decode_row
from bulrushdrum._internal.records.errors import RecordUnreadable
from bulrushdrum._internal.records.record import decode_record
from bulrushdrum._internal.settings.router import RouterSettings
from bulrushdrum._internal.world.addresses import parse_address
from bulrushdrum._internal.world.engines import PoolUpstream

NESTED = b"[" * 20_000
REGISTRATION = {
    "service": "s1",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "born": 1,
    "route-kind": "k",
    "seq-no": 3,
    "version": "v1",
    "layers": {"from": 0, "target": 5, "version": 1},
}
# JSON texts, so that numbers have the spelling that another writer may use.
ODD_VALUES = [
    *("1e400", "-1e400", "NaN", "1" + "0" * 400, "-1", "1.5", "true", "null"),
    *('""', '"x"', '"\\ud800"', "[]", "{}", "[[]]", '{"from":1e400,"target":1}'),
]


def _with_value(field, text):
    marker = "@odd@"
    return json.dumps({**REGISTRATION, field: marker}).replace(f'"{marker}"', text)


@pytest.mark.parametrize("text", ODD_VALUES)
@pytest.mark.parametrize("field", REGISTRATION)
def test_an_odd_field_of_a_registration_is_malformed_or_can_be_used(field, text):
    # Guards against a registration whose decoding ends the task that reads all of them,
    # or that cannot be sent, computed with or logged afterwards.
    try:
        upstream = decode_upstream("e1", _with_value(field, text).encode())
    except MalformedRow:
        return
    parse_address(upstream.address)
    assert all(
        isinstance(number, int) and 0 <= number <= 2**53
        for number in (upstream.slots, upstream.born, upstream.heartbeats)
    )
    assert upstream.layers is None or 0 <= upstream.layers.first < upstream.layers.end


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        b'{"layers":' * 20_000,
        b"\xff",
        b"",
        b"null",
        b"[1]",
        b"1e400",
        json.dumps({**REGISTRATION, "address": "10.0.0.1:70000"}).encode(),
        json.dumps({**REGISTRATION, "address": "10.0.0.1\r\nx:80"}).encode(),
        json.dumps({**REGISTRATION, "address": "a..b:80"}).encode(),
        json.dumps({**REGISTRATION, "address": "server.example:80"}).encode(),
        json.dumps({**REGISTRATION, "address": "[::1]:80"}).encode(),
        json.dumps({**REGISTRATION, "layers": {"from": -3, "target": 5}}).encode(),
    ],
)
def test_a_registration_that_cannot_be_read_is_malformed(value):
    # Guards against a registration whose decoding ends the task that reads all of them.
    with pytest.raises(MalformedRow):
        decode_upstream("e1", value)


def test_an_id_that_no_header_can_hold_is_malformed():
    # Guards against an upstream to which every request fails in this router.
    for upstream_id in ("a\r\nb", "\ud800", "", "ä"):
        with pytest.raises(MalformedRow):
            decode_upstream(upstream_id, json.dumps(REGISTRATION).encode())


TEXT = st.text('a0:.-"\x00\ud800\u00e4', max_size=8)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
    lambda children: st.lists(children) | st.dictionaries(TEXT, children),
    max_leaves=8,
)


@given(
    changes=st.dictionaries(st.sampled_from(sorted(REGISTRATION)), JSON_VALUES),
    missing=st.sets(st.sampled_from(sorted(REGISTRATION))),
)
def test_a_registration_is_decoded_or_malformed(changes, missing):
    # Guards against a registration whose decoding ends the task that reads all of them.
    raw = {**REGISTRATION, **changes}
    value = json.dumps({k: v for k, v in raw.items() if k not in missing}).encode()
    try:
        assert isinstance(decode_upstream("e1", value), PoolUpstream)
    except MalformedRow:
        pass


def _paths(value, prefix=()):
    yield prefix
    if isinstance(value, dict):
        for key, child in value.items():
            yield from _paths(child, (*prefix, key))
    elif isinstance(value, list):
        for index, child in enumerate(value):
            yield from _paths(child, (*prefix, index))


@pytest.mark.parametrize("odd", [float("inf"), float("nan"), 10**400, [], "x", None, 0])
def test_a_configuration_with_an_odd_value_is_decoded_or_malformed(odd):
    # Guards against a configuration that ends the task that follows it.
    for path in _paths(CONFIGURATION):
        if not path:
            continue
        raw = copy.deepcopy(CONFIGURATION)
        *parents, last = path
        target = raw
        for step in parents:
            target = target[step]
        target[last] = odd
        try:
            decode_configuration(json.dumps(raw).encode())
        except MalformedRow:
            pass


def test_nested_brackets_are_malformed_everywhere():
    # Guards against a nested value that ends the task that reads it.
    with pytest.raises(MalformedRow):
        decode_configuration(NESTED)
    with pytest.raises(RecordUnreadable):
        decode_record(NESTED)
    ConfigStore().put("contract", "c1", NESTED.decode(), 1)


def test_a_row_whose_value_is_no_base64_does_not_hide_the_others():
    # Guards against a table that counts as unavailable because of one row.
    valid = base64.b64encode(b"v").decode()
    for value in ("\u00e4", "@", None, 3, valid[:-1]):
        row = _decode_row({"key": "k", "value": value, "schema-version": 1})
        assert row == StoredRow("k", b"", 1)
    assert _decode_row({"key": "k", "schema-version": 1}).value == b""


@pytest.mark.parametrize(
    "value",
    [
        {"ip": "127.0.0.1", "port": 70000},
        {"ip": "127.0.0.1", "port": float("inf")},
        {"ip": "a..b", "port": 80},
        {"ip": "router.example", "port": 80},
        {"ip": "127.0.0.1"},
        [],
    ],
)
def test_a_router_with_an_impossible_address_is_left_out(value):
    # Guards against announcements that stop because one address cannot be sent to.
    settings = RouterSettings("r1", "a", "127.0.0.1", "", "", 0, 0, "")
    registry = RouterRegistry(settings, "i1", None, lambda: None)
    odd = StoredRow("r2", json.dumps(value).encode(), 1)
    nested = StoredRow("r3", NESTED, 1)
    sound = StoredRow("r4", b'{"ip":"127.0.0.1","port":9}', 1)
    registry.on_rows([odd, nested, sound], True)
    assert registry.addresses == {"r4": ("127.0.0.1", 9)}


@pytest.mark.parametrize(
    "body",
    [NESTED, b'{"seq-no":1e400}', b'{"layers":{"from":1e400,"target":2}}', b"[]"],
)
def test_a_malformed_report_of_an_engine_is_no_report(body):
    # Guards against a report that ends the task that asks for it.
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    server = PathServer("e1", lambda request: [head + body])
    try:
        assert EngineCalls(2.0).report(server.address) is None
    finally:
        server.stop()
