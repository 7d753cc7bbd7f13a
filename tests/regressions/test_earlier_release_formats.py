"""Messages and stored data of the earlier release must remain readable and unchanged.

Guards against a rename inside the process that also changes a message or stored data.
Tests that write and read with the same code do not notice it, so it would be found only
during a rolling upgrade, when processes of both releases exchange messages and share
the table.

`earlier_release_formats.json` was written by the release before the identifiers were
renamed. It must not be regenerated with the present code. A message that gains a field
on purpose is encoded differently; only the sample of that message is then replaced.
"""

import dataclasses
import json
from pathlib import Path
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket
from tests.fakes import FakeHub, FakeTable
from tests.unit.pool_fakes import make_engine, make_limits

from bulrushdrum._internal.conditions.exchange import ConditionExchange
from bulrushdrum._internal.configuration.log import (
    edit_writes,
    encode_value,
    load_store,
    read_head,
    read_log_entry,
)
from bulrushdrum._internal.configuration.store import decode_value
from bulrushdrum._internal.coordination import announcements
from bulrushdrum._internal.coordination.announcements import RouterAnnouncements
from bulrushdrum._internal.coordination.router_registry import RouterRegistry
from bulrushdrum._internal.limits.entry_set import EntrySet
from bulrushdrum._internal.limits.settings import LimitSettings
from bulrushdrum._internal.peering import messages
from bulrushdrum._internal.peering.codec import decode, encode
from bulrushdrum._internal.peering.handshake import PeeringKeys
from bulrushdrum._internal.peering.shared_state_messages import ConfigEntry
from bulrushdrum._internal.pipelines.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import (
    EngineUsage,
    Hop,
    MemoryReservations,
)
from bulrushdrum._internal.pipelines.part_quarantine import PartQuarantine
from bulrushdrum._internal.platform.rows import StoredRow
from bulrushdrum._internal.platform.table import Row, Write
from bulrushdrum._internal.records.flushing import Flusher
from bulrushdrum._internal.records.record import decode_record, encode_record
from bulrushdrum._internal.records.report import build_report, render_csv, render_json
from bulrushdrum._internal.routing import issued_keys
from bulrushdrum._internal.routing.claim_rows import (
    BindingProposal,
    claim_row_key,
    decode_binding,
    encode_binding,
)
from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.settings.reading import read_settings
from bulrushdrum._internal.settings.router import RouterSettings
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.world.contracts import (
    decode_contract,
    encode_contract,
    parse_contract,
)
from bulrushdrum._internal.world.upstreams import LayerRange, parse_desired_state

SAMPLES = json.loads(
    Path(__file__).with_name("earlier_release_formats.json").read_text()
)


def to_json_value(value):
    """Convert named tuples to objects by field name, and bytes to hexadecimal."""
    if hasattr(value, "_asdict"):
        return {name: to_json_value(item) for name, item in value._asdict().items()}
    if isinstance(value, (list, tuple)):
        return [to_json_value(item) for item in value]
    return value.hex() if isinstance(value, bytes) else value


# Messages between processes.


@pytest.mark.parametrize("name", SAMPLES["messages"])
def test_message(name):
    sample = SAMPLES["messages"][name]
    message = decode(bytes.fromhex(sample["frame"]))
    assert type(message) is getattr(messages, name)
    assert to_json_value(message) == sample["fields"]
    assert encode(message).hex() == sample["frame"]


# Idempotency keys.


@pytest.mark.parametrize("sample", SAMPLES["claims"], ids=["released", "with_result"])
def test_claim_row(sample):
    expected = sample["binding"]
    customer, key = expected["customer"], expected["key"]
    row = Row(sample["row_key"], sample["row"], 9)
    binding = decode_binding(customer, key, row)
    assert to_json_value(binding) == {**expected, "version": 9, "wrote_row": False}
    assert encode_binding(binding, sample["epoch"]) == sample["row"]
    assert claim_row_key(customer, key) == sample["row_key"]


def test_issued_key(monkeypatch):
    sample = SAMPLES["issued_key"]
    secrets = {key_id: text.encode() for key_id, text in sample["keys"].items()}
    keys = PeeringKeys(sample["current"], secrets)
    binding = issued_keys.read_issued_key(sample["key"], sample["customer"], keys)
    assert binding.customer == sample["customer"]
    assert binding.key == sample["key"]
    assert binding.upstream == sample["upstream"]
    assert binding.incarnation == sample["incarnation"]
    assert binding.window == sample["window"]
    monkeypatch.setattr(issued_keys.secrets, "token_hex", lambda size: sample["nonce"])
    proposal = BindingProposal(binding.upstream, binding.incarnation, binding.window)
    key = issued_keys.issue_key(sample["customer"], proposal, keys)
    assert key == sample["key"]


# Configuration and entry set.


def make_table(rows):
    table = FakeTable()
    table.transact([], [Write(key, value) for key, value in rows.items()])
    return table


def test_configuration_rows_are_read():
    rows = SAMPLES["configuration"]
    table = make_table(rows)
    assert read_head(table) == 2
    store = load_store(table)
    assert store.revision == 2

    revision, text = store.get("contract", "warwick")
    assert revision == 1
    contract = decode_contract(text)
    assert to_json_value(contract) == rows["contract/warwick"]["value"]
    assert decode_contract(encode_contract(contract)) == contract

    revision, text = store.get("upstream", "gpu-7")
    assert revision == 2
    desired = parse_desired_state(decode_value(text))
    assert to_json_value(desired) == rows["upstream/gpu-7"]["value"]

    for revision in (1, 2):
        logged = rows[f"config/log/{revision:012}"]
        entry = read_log_entry(table, revision)
        values = {**entry._asdict(), "value": json.loads(entry.value)}
        assert values == logged


def test_configuration_rows_are_written():
    rows = SAMPLES["configuration"]
    contract = parse_contract(rows["contract/warwick"]["value"])._asdict()
    desired = parse_desired_state(rows["upstream/gpu-7"]["value"])._asdict()
    table = FakeTable()
    for revision, kind, key, value, edit_id in (
        (1, "contract", "warwick", contract, "edit-a1"),
        (2, "upstream", "gpu-7", desired, "edit-b2"),
    ):
        entry = ConfigEntry(revision, kind, key, encode_value(value), edit_id)
        table.transact([], edit_writes(entry, value))
    written = {row.key: row.value for row in table.scan("")}
    assert json.loads(json.dumps(written)) == rows


def make_entry_set(table, member):
    hub = FakeHub(member["node"])
    hub.local_identity = hub.local_identity._replace(
        incarnation=member["incarnation"],
        address=member["address"],
        data_centre=member["data_centre"],
    )
    settings = LimitSettings(region=member["region"])
    return EntrySet(hub, table, settings, lambda other: False)


def test_entry_set_row_is_read():
    rows = SAMPLES["entry_set"]
    members = rows["entry-set"]["members"]
    table = make_table(rows)
    entry_set = make_entry_set(table, members[0])
    entry_set.poll()
    assert entry_set.version == rows["entry-set-version"] == 2
    assert to_json_value(entry_set.members) == members
    assert entry_set.is_member
    assert table.transactions == 1  # the entry was not added a second time


def test_entry_set_row_is_written():
    rows = SAMPLES["entry_set"]
    table = FakeTable()
    for member in rows["entry-set"]["members"]:
        make_entry_set(table, member).poll()
    assert {row.key: row.value for row in table.scan("")} == rows


# Request records.


class MemoryObjects(dict):
    """The interface of `ObjectStore`, in memory."""

    def put_if_absent(self, name, data):
        self.setdefault(name, data)
        return True

    def names(self, prefix, after=""):
        return sorted(name for name in self if name.startswith(prefix) and name > after)


def stored_lines(sample):
    return "".join(line + "\n" for line in sample["lines"]).encode()


def test_request_records():
    sample = SAMPLES["records"]
    records = [decode_record(line) for line in sample["lines"]]
    assert to_json_value(records) == sample["fields"]
    assert [encode_record(record) for record in records] == sample["lines"]
    objects = MemoryObjects()
    flusher = Flusher(objects, "entry-a#5")
    flusher.add(records)
    flusher.write_next()
    assert objects == {sample["object"]: stored_lines(sample)}


def test_report_of_stored_records():
    sample = SAMPLES["records"]
    objects = MemoryObjects({sample["object"]: stored_lines(sample)})
    report = build_report(objects, sample["customer"], sample["start"], sample["end"])
    assert render_json(report) == sample["json"]
    assert render_csv(report) == sample["csv"]


# Settings.


# Fields that the files of that release lack, with the defaults that they then have.
SETTINGS_ADDED_SINCE = {
    "entry": {
        "max_receiving_bytes": 32 * 1024 * 1024,
        "request_read_timeout": 30.0,
        "max_handshakes": 200,
    },
    "sidecar": {"max_engine_answer_bytes": 64 * 1024 * 1024, "max_handshakes": 200},
}


@pytest.mark.parametrize(
    ("role", "settings_class"),
    [("entry", EntrySettings), ("sidecar", SidecarSettings)],
    ids=["entry", "sidecar"],
)
def test_settings_file(tmp_path, role, settings_class):
    # Every field has a value other than its default.
    expected = SAMPLES["settings"][role]
    path = tmp_path / f"{role}.json"
    path.write_text(json.dumps(expected, indent=2))
    settings = read_settings(str(path), settings_class)
    assert dataclasses.asdict(settings) == {**expected, **SETTINGS_ADDED_SINCE[role]}


# Announcements of routers.


class Clock:
    """A clock that only the test advances."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(announcements, "time", SimpleNamespace(monotonic=clock))
    return clock


def make_router(node, incarnation, clock):
    fleet = Fleet(clock)
    for upstream_id in ("e1", "e2", "e3"):
        fleet.put(make_engine(upstream_id, layers=(0, 20)))
    router = SimpleNamespace(
        fleet=fleet,
        reservations=MemoryReservations(),
        quarantine=CrashQuarantine(lambda upstream_id, born: True, clock),
        part_quarantine=PartQuarantine(
            lambda upstream_id, born: True, fleet.software_versions, clock
        ),
    )
    settings = RouterSettings(node, "dc-a", "127.0.0.1", "", "", 0, 0, "")
    router.registry = RouterRegistry(settings, incarnation, None, lambda: None)
    router.announcements = RouterAnnouncements(
        settings,
        incarnation,
        router.registry,
        router.reservations,
        fleet,
        lambda: True,
        router.quarantine,
        router.part_quarantine,
        make_limits(),
        lambda: 0,
    )
    router.conditions = ConditionExchange(
        fleet, router.announcements.messages, lambda upstream: 0.0, frozenset, clock
    )
    router.announcements.announced_conditions = router.conditions.announcement
    router.announcements.apply_conditions = router.conditions.apply_announcement
    router.announcements.set_serving(True)
    # Past the time that a router waits before it becomes leader.
    clock.now += 10.0
    return router


@pytest.fixture
def peer_socket():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer_socket:
        peer_socket.bind(("127.0.0.1", 0))
        peer_socket.settimeout(5.0)
        yield peer_socket


def test_announcement_is_applied(clock, peer_socket):
    router = make_router("r2", "r2#1", clock)
    router.quarantine.record_failure("f-served", (("e9", 1),))
    assert router.quarantine.dump() == {"f-served": 1}
    assert router.announcements.is_leader()

    listener = gevent.spawn(router.announcements.listen_forever)
    address = router.announcements._socket.getsockname()
    peer_socket.sendto(json.dumps(SAMPLES["announcement"]).encode(), address)
    with gevent.Timeout(5.0, False):
        while not router.fleet.is_unresponsive("e3"):
            gevent.sleep(0.01)
    listener.kill()

    assert router.fleet.unresponsive_ids() == ["e3"]
    assert router.announcements.serving_routers() == ["r1", "r2"]
    assert not router.announcements.is_leader()  # r1 is
    assert not router.announcements.all_peers_accept_work()
    assert router.quarantine.dump() == {"f-crashed": 2}
    assert router.fleet.get("e1").layers == LayerRange(5, 25)
    assert router.fleet.get("e2").layers is None
    assert router.reservations.usage("e1") == EngineUsage(200.0, 1, 1)
    assert router.reservations.usage("e2") == EngineUsage(162.0, 2, 1)


# Added since: number, upstream, start time, matter, age, seconds left and failures. The
# next releases read what this one writes.
CONDITIONS = [
    [3, "e2", 1, "works", 0.1, 0.635, 0],
    [1, "e1", 1, "refusing", 0.125, 0.375, 1],
]


def test_conditions_are_applied(clock):
    router = make_router("r2", "r2#1", clock)
    router.conditions.apply_announcement("r1", "r1#5", CONDITIONS)
    assert router.fleet.avoided_ids() == ["e1"]
    claim = router.fleet.claims.condition("e1").claim
    assert (claim.reporter, claim.failures) == ("r1", 1)
    assert (claim.made_at, claim.until) == (clock.now - 0.125, clock.now + 0.375)
    works_since = router.fleet.claims.condition("e2").works_since
    assert clock.now - 0.2 < works_since <= clock.now - 0.1


def test_announcement_is_sent(clock, peer_socket):
    router = make_router("r1", "r1#5", clock)
    address = {"ip": "127.0.0.1", "port": peer_socket.getsockname()[1]}
    row = StoredRow("r2", json.dumps(address).encode(), 1)
    router.registry.on_rows([row], True)
    assert router.announcements.is_leader()
    router.announcements.set_accepts_work(False)

    first, second = router.fleet.get("e1"), router.fleet.get("e2")
    router.reservations.reserve(
        (Hop(first, LayerRange(0, 20)), Hop(second, LayerRange(5, 20))), 10.0
    )
    router.reservations.reserve((Hop(second, LayerRange(0, 4)),), 3.0)
    router.announcements.layer_updates.add("e1", 1, LayerRange(5, 25))
    router.announcements.layer_updates.add("e2", 1, None)
    router.fleet.mark_unresponsive("e3")
    for fingerprint in ("f-crashed", "f-crashed", "f-served"):
        router.quarantine.record_failure(fingerprint, (("e9", 1),))
    assert router.quarantine.dump() == {"f-crashed": 2, "f-served": 1}
    router.quarantine.record_success("f-served")

    router.conditions.report_refusal(first)
    router.conditions.report_refusal(second)
    hop = Hop(second, LayerRange(0, 20))
    router.conditions.record_events([hop], clock.now + 0.025)
    clock.now += 0.125

    router.announcements._announce()
    # These fields were added since; routers of the earlier release ignore them.
    added = {
        "ready_in": 0.0,
        "prompt_parts": {"crashes": [], "written": {}},
        "limits": [],
        "leaving": [],
        "configuration": 0,
        "store_contact": None,
        "conditions": CONDITIONS,
        "lendable_retries": {},
        "orders": [],
    }
    expected = {**SAMPLES["announcement"], **added}
    assert json.loads(peer_socket.recv(65000)) == expected
