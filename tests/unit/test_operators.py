"""Operator routes and commands: authentication, input validation and exit codes."""

import json
from types import SimpleNamespace

import gevent
import pytest
import urllib3
from bench.standins.serving import start_server
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from tests.fakes import SETTINGS, FakeHub, FakeTable

from bulrushdrum._internal.caller.operators import (
    MAX_BODY_BYTES,
    OperatorApp,
    OperatorServices,
)
from bulrushdrum._internal.configuration.edits import ConfigurationEditor
from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.operator.commands import run_commands
from bulrushdrum._internal.platform.errors import StoreUnavailable
from bulrushdrum._internal.records.errors import RecordUnreadable
from bulrushdrum._internal.records.report import Delay, Delivered, Report

KEY = "operator-secret"
SEEN = {"u1": {"state": "serving", "model": "m", "layers": [0, 4], "data_centre": "a"}}


def report(customer, start, end):
    if customer == "down":
        raise StoreUnavailable("object store: down")
    if customer == "damaged":
        raise RecordUnreadable("records/x, line 1")
    delayed = {"concurrency": Delay(1, 2.5, 2.5)}
    return Report(
        customer, start, end, Delivered(2, 3, 4), {"draining": 5}, {"x": 6}, delayed
    ).to_json()


@pytest.fixture(scope="module")
def entry():
    table, hub = FakeTable(), FakeHub("a")
    replica = ConfigurationReplica(hub, table, SETTINGS, poll_interval=0.05)
    editor = ConfigurationEditor(
        hub, table, replica, confirm_timeout=0.2, resolve_timeout=0.5
    )
    services = OperatorServices(
        replica, editor, lambda: SEEN, report, {"": {"node": "a"}}.get
    )
    replica.start()
    assert replica.wait_for(0, 2.0)
    server = start_server(OperatorApp(services, KEY).wsgi, "127.0.0.1:0")
    address = f"127.0.0.1:{server.server_port}"
    yield SimpleNamespace(address=address, table=table, replica=replica)
    server.stop(timeout=0)
    replica.stop()


@pytest.fixture
def bulrushdrum(entry, monkeypatch, capsys):
    monkeypatch.setenv("BULRUSHDRUM_OPERATOR", entry.address)
    monkeypatch.setenv("BULRUSHDRUM_OPERATOR_KEY", KEY)

    def run(*arguments):
        try:
            code = run_commands(list(arguments))
        except SystemExit as error:
            code = error.code
        return code, *capsys.readouterr()

    return run


def request(entry, method, path, body=None, key=KEY):
    response = urllib3.request(
        method,
        f"http://{entry.address}/v1/operator/{path}",
        body=body,
        headers={"Authorization": f"Bearer {key}"},
        retries=False,
    )
    return response.status, response.json()


@pytest.mark.parametrize("key", ["", "operator-secre", "operator-secrets", "\xe9"])
@pytest.mark.parametrize("path", ["contracts", "contracts/c1", "dump", "report/c1"])
def test_every_route_requires_the_operator_key(entry, key, path):
    # Guards against a route that can be used without the operator key.
    status, body = request(entry, "GET", path, key=key)
    assert status == 401
    assert body["error"]["code"] == "unauthenticated"


@pytest.mark.parametrize(
    ("method", "path", "status", "code"),
    [
        ("GET", "nope", 404, "not_found"),
        ("DELETE", "contracts/c1", 405, "method_not_allowed"),
        ("GET", "contracts/absent", 404, "not_found"),
        ("GET", "upstreams/absent", 404, "not_found"),
        ("GET", "dump?node=absent", 404, "not_found"),
        ("GET", "report/c1?from=yesterday", 400, "invalid"),
        ("GET", "report/c1?from=2026-12-04&to=2026-12-03", 400, "invalid"),
        ("GET", "report/down", 503, "store_unavailable"),
        ("GET", "report/damaged", 500, "record_unreadable"),
    ],
)
def test_errors_have_stable_codes(entry, method, path, status, code):
    # Guards against an HTML page or an empty body instead of a JSON error code.
    answer = request(entry, method, path)
    assert (answer[0], answer[1]["error"]["code"]) == (status, code)


@seed(20261204)
@settings(max_examples=150, deadline=None)
@given(
    st.sampled_from(["contracts/fuzzed", "upstreams/fuzzed", "contracts/%C3%A9"]),
    st.one_of(
        st.binary(max_size=200),
        st.fixed_dictionaries(
            {
                "contract": st.just({"customer": "fuzzed", "share": -1}) | st.none(),
                "expected_revision": st.none() | st.integers() | st.text(),
            },
            optional={"edit_id": st.text() | st.integers(), "desired": st.integers()},
        ).map(lambda body: json.dumps(body).encode()),
        st.integers(1, 3).map(lambda n: b"[" * 100_000 * n),
    ),
)
def test_invalid_bodies_are_rejected_without_a_write(entry, path, body):
    # Guards against an internal error or a write caused by invalid input.
    transactions_before = entry.table.transactions
    status, answer = request(entry, "PUT", path, body)
    assert (status, answer["error"]["code"]) == (400, "invalid")
    assert entry.table.transactions == transactions_before


def test_oversized_body_is_rejected(entry):
    # Guards against a single request that exhausts the entry's memory.
    body = b'{"contract": "' + b"x" * MAX_BODY_BYTES + b'"}'
    status, answer = request(entry, "PUT", "contracts/c1", body)
    assert (status, answer["error"]["code"]) == (413, "request_too_large")


def test_contract_commands(entry, bulrushdrum):
    # Guards against an edit that resets fields the operator did not set.
    code, out, _ = bulrushdrum("contracts", "set", "c1", "--share", "2", "--json")
    assert code == 0
    accepted = json.loads(out)
    assert accepted["confirmed"] == ["a"] and accepted["unconfirmed"] == []
    code, out, _ = bulrushdrum(
        "contracts", "set", "c1", "--new-api-key", "--non-idempotent", "chat:pay"
    )
    assert code == 0 and "in force at 1 entry" in out
    api_key = out.split()[-1]
    assert entry.replica.customer_of_api_key(api_key) == "c1"
    code, out, _ = bulrushdrum("contracts", "show", "c1", "--json")
    shown = json.loads(out)["contract"]
    assert (shown["share"], shown["non_idempotent"]) == (2.0, ["chat:pay"])
    code, out, _ = bulrushdrum("contracts", "list")
    assert out.split()[6:12] == ["c1", "2", "4", "16", "1", "2"]


def test_exit_codes_distinguish_failures(entry, bulrushdrum):
    # Guards against scripts that mistake a conflict or an unknown outcome for success.
    assert bulrushdrum("contracts", "set", "x1")[0] == 0
    code, _, err = bulrushdrum(
        "contracts", "set", "x1", "--share", "3", "--expected-revision", "0"
    )
    assert code == 3 and '"share": 1.0' in err
    code, _, err = bulrushdrum("contracts", "set", "x1", "--share", "-3")
    assert code == 1 and "share" in err
    assert bulrushdrum("contracts", "show", "absent")[0] == 1
    assert bulrushdrum("contracts", "sow")[0] == 2
    assert bulrushdrum("upstreams", "set", "u1")[0] == 2
    assert bulrushdrum("contracts", "list", "--operator", "nonsense")[0] == 2
    assert bulrushdrum("contracts", "list", "--operator", "127.0.0.1:21998")[0] == 1
    assert bulrushdrum("contracts", "list", "--key", "wrong")[0] == 1
    assert bulrushdrum("contracts", "list", "--key", "\u65e5")[0] == 2
    code, _, err = bulrushdrum("report", "down", "--json")
    assert code == 1 and json.loads(err)["error"]["code"] == "store_unavailable"


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ('{"customer": "f1", "share": 4, "api_key_hashes": ["' + "ab" * 32 + '"]}', 0),
        ('{"customer": "f2"}', 1),
        ('{"api_key_hashes": 7}', 2),
        ("[]", 2),
        ("{", 2),
    ],
)
def test_contract_from_a_file(entry, bulrushdrum, tmp_path, text, code):
    # Guards against a traceback or a partly applied contract from an invalid file.
    path = tmp_path / "contract.json"
    path.write_text(text)
    original = entry.replica.contract("f1")
    arguments = ("contracts", "set", "f1", "--file", str(path), "--priority", "7")
    assert bulrushdrum(*arguments)[0] == code
    new = entry.replica.contract("f1")
    if code:
        assert new == original
    else:
        assert (new.share, new.priority, len(new.api_key_hashes)) == (4.0, 7, 1)


def test_edit_during_an_outage(entry, bulrushdrum):
    # Guards against reporting an edit as refused although it may have been applied, and
    # against contract changes while the store is down.
    entry.table.down = True
    code, _, err = bulrushdrum("contracts", "set", "o1")
    assert code == 1 and "store_unavailable" in err
    entry.table.down = False
    original = entry.table.transact

    def transact_then_fail(conditions, writes):
        try:
            return original(conditions, writes)
        finally:
            entry.table.down = True

    entry.table.transact, entry.table.on_write = transact_then_fail, ["lost"]
    code, _, err = bulrushdrum("contracts", "set", "o1")
    assert code == 4
    # If the store recovers in the meantime, the client's retry determines the outcome.
    entry.table.down, entry.table.on_write = False, ["lost"]
    gevent.spawn_later(1.0, setattr, entry.table, "down", False)
    gevent.spawn_later(1.0, setattr, entry.table, "transact", original)
    code, out, _ = bulrushdrum("contracts", "set", "o2", "--json")
    assert code == 0
    assert json.loads(out)["revision"] == entry.replica.revision


def test_upstream_commands(bulrushdrum):
    # Guards against a `stop` that also resets the desired model.
    assert bulrushdrum("upstreams", "set", "u1", "--model", "m2")[0] == 0
    assert bulrushdrum("upstreams", "stop", "u1")[0] == 0
    _, out, _ = bulrushdrum("upstreams", "state", "u1", "--json")
    row = json.loads(out)
    assert row["desired"]["serving"] is False and row["desired"]["model"] == "m2"
    _, out, _ = bulrushdrum("upstreams", "list")
    line = out.splitlines()[1]
    assert line.startswith("u1") and "layers 0-4" in line and "stopped" in line
    assert bulrushdrum("upstreams", "start", "u1")[0] == 0
    _, out, _ = bulrushdrum("upstreams", "state", "u1")
    assert "desired.serving          True" in out


def test_report_formats(bulrushdrum):
    # Guards against an ignored `--format` option and missing figures.
    times = ("--from", "2026-12-03", "--to", "2026-12-04")
    code, out, _ = bulrushdrum("report", "c1", *times, "--format", "csv")
    start = 1796256000.0
    assert code == 0
    assert f"c1,{start},{start + 86400},both,requests,,13" in out.splitlines()
    assert out.splitlines()[-1].endswith('"delay, longest in seconds",concurrency,2.5')
    _, out, _ = bulrushdrum("report", "c1", "--format", "json")
    answer = json.loads(out)
    assert answer["to"] - answer["from"] == pytest.approx(86400)
    _, out, _ = bulrushdrum("report", "c1", *times)
    assert ["operations", "refused", "requests", "draining", "5"] in [
        line.split() for line in out.splitlines()
    ]
    assert json.loads(bulrushdrum("dump")[1]) == {"node": "a"}


def test_check_settings(bulrushdrum, tmp_path):
    # Guards against a check that accepts invalid settings.
    path = tmp_path / "entry.json5"
    path.write_text("{node: 'a', /* comment */ nod: 1, operator_key: ''}")
    code, _, err = bulrushdrum("check-settings", "entry", str(path))
    assert code == 1
    assert "nod: unknown field" in err and "data_centre: missing" in err
    # An empty operator key would grant access to everyone.
    assert "operator_key: the value is not 16 or more" in err
