"""Tests of the platform's clients against stand-in services, with injected failures."""

import gevent
import pytest
from bench.standins.objects import objects_app
from bench.standins.serving import Faults, start_server
from bench.standins.table import TableState, table_app
from bench.standins.vm_list import VmListState, vm_list_app
from gevent.server import StreamServer

from bulrushdrum._internal.platform.errors import (
    ObjectNotFound,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from bulrushdrum._internal.platform.objects import ObjectStore
from bulrushdrum._internal.platform.table import Condition, Row, Table, Write
from bulrushdrum._internal.platform.vm_list import VmList

VM = {
    "name": "vm-1",
    "address": "127.0.0.1:21500",
    "role": "entry",
    "data_centre": "a",
    "region": "r",
    "state": "live",
}


@pytest.fixture
def faults():
    return Faults(write_rate=1000.0, read_rate=1000.0)


@pytest.fixture
def serve():
    servers = []

    def start(app):
        servers.append(start_server(app, "127.0.0.1:0"))
        return f"127.0.0.1:{servers[-1].server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0)


@pytest.fixture
def table(serve, faults):
    return Table(serve(table_app(TableState(), faults)), timeout=0.3)


def test_transaction_is_atomic(table):
    # Guards against a transaction that writes some rows although a condition failed.
    assert table.transact([Condition("a/1", 0)], [Write("a/1", {"n": "é"})]) == [1]
    with pytest.raises(WriteConflict) as raised:
        table.transact(
            [Condition("a/1", 0), Condition("b", 0)], [Write("a/1", 2), Write("b", 2)]
        )
    assert raised.value.rows == [Row("a/1", {"n": "é"}, 1)]
    assert table.read("b") is None
    assert table.transact([], [Write("a/1", None), Write("a/2", 5)]) == [0, 1]
    assert table.scan("a/") == [Row("a/2", 5, 1)]


def test_scan_pages_are_contiguous(table):
    # Guards against rows that are skipped or read twice at a page boundary.
    table.transact([], [Write(f"p/{n:02}", n) for n in range(10)] + [Write("q", 1)])
    first = table.scan("p/", limit=4)
    second = table.scan("p/", after=first[-1].key, limit=100)
    assert [row.value for row in first + second] == list(range(10))


def test_lost_response_to_write_has_unknown_outcome(table, faults):
    # Guards against reporting that nothing was written although the write took effect.
    faults.lose_answers = 1
    with pytest.raises(WriteOutcomeUnknown):
        table.transact([], [Write("a", 1)])
    assert table.read("a") == Row("a", 1, 1)


def test_timeout_has_unknown_outcome_only_for_writes(table, faults):
    # Guards against treating a slow write as failed although it takes effect later.
    faults.slow_seconds = 0.6
    with pytest.raises(WriteOutcomeUnknown):
        table.transact([], [Write("a", 1)])
    with pytest.raises(StoreUnavailable):
        table.read("a")
    faults.slow_seconds = 0.0
    gevent.sleep(0.5)
    assert table.read("a") == Row("a", 1, 1)


@pytest.mark.parametrize("down", [True, "cut"])
def test_outage_is_reported_by_its_effect_on_writes(table, faults, down):
    # Guards against confusing the outcomes: a 503 proves that nothing was written, a
    # closed connection does not.
    faults.down = down
    expected = StoreUnavailable if down is True else WriteOutcomeUnknown
    with pytest.raises(expected):
        table.transact([], [Write("a", 1)])
    with pytest.raises(StoreUnavailable):
        table.read("a")
    faults.down = False
    assert table.read("a") is None


def test_refused_connection_is_reported_as_unavailable():
    # Guards against reporting an unknown outcome when no request can have been sent.
    table = Table("127.0.0.1:21999", timeout=0.3)
    with pytest.raises(StoreUnavailable):
        table.transact([], [Write("a", 1)])


def test_rate_limited_write_is_reported_as_unavailable(serve):
    # Guards against reporting an unknown outcome for a write that was refused.
    address = serve(table_app(TableState(), Faults(write_rate=10.0, read_rate=1000.0)))
    table = Table(address, timeout=0.3)
    refused = 0
    for n in range(30):
        try:
            table.transact([], [Write(f"k/{n}", 1)])
        except StoreUnavailable:
            refused += 1
    assert refused > 10
    assert len(table.scan("k/")) == 30 - refused


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_malformed_responses(response):
    # Guards against an unhandled exception, or an assumed outcome, after a malformed
    # response.
    def handle(sock, _):
        sock.recv(65536)
        sock.sendall(response)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    table = Table(f"127.0.0.1:{server.server_port}", timeout=0.3)
    with pytest.raises(WriteOutcomeUnknown):
        table.transact([], [Write("a", 1)])
    with pytest.raises(StoreUnavailable):
        table.read("a")
    server.stop(timeout=0)


def test_object_is_written_once(serve, faults):
    # Guards against a second writer that overwrites stored records.
    store = ObjectStore(serve(objects_app(faults)), timeout=0.3)
    faults.lose_answers = 1
    with pytest.raises(WriteOutcomeUnknown):
        store.put_if_absent("records/1.jsonl", b"first")
    assert store.put_if_absent("records/1.jsonl", b"second") is False
    assert store.get("records/1.jsonl") == b"first"
    with pytest.raises(ObjectNotFound):
        store.get("records/2.jsonl")


def test_names_include_all_pages(serve):
    # Guards against reports that silently omit objects after the first page.
    store = ObjectStore(serve(objects_app(Faults(1e6, 1e6))), timeout=5.0)
    for n in range(1100):
        store.put_if_absent(f"r/{n:04}", b"")
    assert len(store.names("r/")) == 1100
    assert store.names("r/", after="r/1097") == ["r/1098", "r/1099"]


def test_vm_list_skips_malformed_rows_and_follows_changes(serve, faults):
    # Guards against a malformed row that hides all other VMs.
    state = VmListState()
    vms = VmList(serve(vm_list_app(state, faults)), timeout=0.3)
    state.put([VM, {**VM, "state": "?"}, {"name": "x"}, 7], 0)
    assert [vm.name for vm in vms.fetch()] == ["vm-1"]
    state.put([], 0.2)
    assert [vm.name for vm in vms.fetch()] == ["vm-1"]
    gevent.sleep(0.3)
    assert vms.fetch() == ()
    faults.down = True
    with pytest.raises(StoreUnavailable):
        vms.fetch()
