"""Configuration replicas under random edits, outages, lost messages and restarts.

The log in the table is the model: after any operations all replicas must converge to
it, and the result returned for each edit must agree with it.
"""

import gevent
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from tests.fakes import SETTINGS, FakeHub, FakeTable

from bulrushdrum._internal.configuration.edits import ConfigurationEditor
from bulrushdrum._internal.configuration.errors import (
    EditConflict,
    EditOutcomeUnknown,
    EditRefused,
)
from bulrushdrum._internal.configuration.log import read_head, read_log
from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.configuration.store import ConfigStore

ENTRIES = 3
CUSTOMERS = ("c0", "c1", "c2")
ENTRY = st.integers(0, ENTRIES - 1)
OPERATIONS = st.one_of(
    st.tuples(
        st.just("edit"),
        ENTRY,
        st.sampled_from(CUSTOMERS),
        st.sampled_from([None, None, "lost", "dropped", "late"]),
    ),
    st.tuples(st.just("table"), st.sampled_from(["down", "up", "up"])),
    st.tuples(st.just("link"), ENTRY, ENTRY, st.booleans()),
    st.tuples(st.just("restart"), ENTRY),
    st.tuples(st.just("wait"), st.sampled_from([0.001, 0.01, 0.05])),
)


class System:
    """Entries, a table and links whose faults are set by the operations."""

    def __init__(self):
        self.table = FakeTable()
        self.starts = 0
        self.entries = [None] * ENTRIES
        self.edits = []
        self.regressions = []
        for number in range(ENTRIES):
            self.restart(number)

    def restart(self, number):
        if self.entries[number] is not None:
            hub, replica, _ = self.entries[number]
            replica.stop()
            for other in filter(None, self.entries):
                other[0].links.pop(hub.local_identity.incarnation, None)
            hub.links.clear()
        self.starts += 1
        hub = FakeHub(f"n{number}", self.starts)
        for index, other in enumerate(self.entries):
            if index != number and other is not None:
                hub.connect(other[0])
        replica = ConfigurationReplica(
            hub, self.table, SETTINGS, poll_interval=0.02, peer_timeout=0.03
        )
        observed = []

        def check(entry):
            if observed and replica.revision < observed[-1]:
                self.regressions.append((number, observed[-1], replica.revision))
            observed.append(replica.revision)

        replica.subscribe(check)
        editor = ConfigurationEditor(
            hub, self.table, replica, confirm_timeout=0.0, resolve_timeout=0.2
        )
        self.entries[number] = (hub, replica, editor)
        replica.start()

    def run(self, operation):
        match operation:
            case ("edit", number, customer, failure):
                if failure:
                    self.table.on_write.append(failure)
                share = len(self.edits) + 1.0
                _, replica, editor = self.entries[number]
                revision = replica.store.revision_of("contract", customer)
                value = {"customer": customer, "share": share}
                greenlet = gevent.spawn(self._edit, editor, customer, value, revision)
                self.edits.append((share, greenlet))
            case ("table", state):
                self.table.down = state == "down"
            case ("link", source, target, lost) if source != target:
                self.link(source, target).drop = lambda message: lost
            case ("restart", number):
                self.restart(number)
            case ("wait", seconds):
                gevent.sleep(seconds)

    def link(self, source, target):
        incarnation = self.entries[target][0].local_identity.incarnation
        return self.entries[source][0].links[incarnation]

    def _edit(self, editor, customer, value, revision):
        try:
            return editor.edit("contract", customer, value, revision)
        except (EditConflict, EditRefused, EditOutcomeUnknown) as error:
            return error

    def recover(self):
        self.table.down = False
        self.table.on_write.clear()
        for hub, _, _ in self.entries:
            for link in hub.links.values():
                link.drop = lambda message: False
        gevent.joinall([greenlet for _, greenlet in self.edits], raise_error=True)
        self.table.read("config/head")  # applies the writes that are still late
        head = read_head(self.table)
        with gevent.Timeout(5.0):
            while any(
                not replica.ready or replica.revision < head
                for _, replica, _ in self.entries
            ):
                gevent.sleep(0.005)
        return head

    def stop(self):
        for _, replica, _ in self.entries:
            replica.stop()


@seed(20261204)
@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(OPERATIONS, min_size=4, max_size=25))
def test_replicas_converge_and_edit_results_match_the_log(operations):
    # Guards against a lost or duplicated edit, a replica that differs or regresses, and
    # an edit result that contradicts the log, under concurrent faults.
    system = System()
    try:
        for operation in operations:
            system.run(operation)
        head = system.recover()
        log = read_log(system.table, 0)
        assert [entry.revision for entry in log] == list(range(1, head + 1))
        model = ConfigStore()
        for entry in log:
            model.apply(entry)
        revisions = {}
        for entry in log:
            share = float(entry.value.split('"share":')[1].split(",")[0])
            assert share not in revisions, "an edit was applied twice"
            revisions[share] = entry.revision
        for share, greenlet in system.edits:
            match greenlet.value:
                case EditConflict() | EditRefused():
                    assert share not in revisions
                case EditOutcomeUnknown():
                    pass
                case accepted:
                    assert revisions[share] == accepted.revision
        for _, replica, _ in system.entries:
            for customer in CUSTOMERS:
                expected = model.get("contract", customer)
                assert replica.store.get("contract", customer) == expected
        assert system.regressions == []
    finally:
        system.stop()
