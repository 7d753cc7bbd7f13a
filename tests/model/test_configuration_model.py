"""Entries under random edits, outages, lost messages and restarts, checked at the end.

The model is the log in the table: whatever happened, all replicas must end as the log
says, and each operator must have been told the truth about their edit.
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
    """Entries with a table and links whose faults the operations set."""

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
            hub, self.table, SETTINGS, poll_interval=0.02, peer_wait=0.03
        )
        seen = []

        def check(entry):
            if seen and replica.revision < seen[-1]:
                self.regressions.append((number, seen[-1], replica.revision))
            seen.append(replica.revision)

        replica.subscribe(check)
        editor = ConfigurationEditor(
            hub, self.table, replica, confirm_wait=0.0, settle_seconds=0.2
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
                known = replica.store.revision_of("contract", customer)
                value = {"customer": customer, "share": share}
                greenlet = gevent.spawn(self._edit, editor, customer, value, known)
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

    def _edit(self, editor, customer, value, known):
        try:
            return editor.edit("contract", customer, value, known)
        except (EditConflict, EditRefused, EditOutcomeUnknown) as error:
            return error

    def heal(self):
        self.table.down = False
        self.table.on_write.clear()
        for hub, _, _ in self.entries:
            for link in hub.links.values():
                link.drop = lambda message: False
        gevent.joinall([greenlet for _, greenlet in self.edits], raise_error=True)
        self.table.read("config/head")  # lets late writes take effect
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
def test_entries_agree_and_operators_were_told_the_truth(operations):
    # Guards against a lost or doubled edit, a replica that differs or goes back, and an
    # answer that contradicts the log, under faults that happen together.
    system = System()
    try:
        for operation in operations:
            system.run(operation)
        head = system.heal()
        log = read_log(system.table, 0)
        assert [entry.revision for entry in log] == list(range(1, head + 1))
        model = ConfigStore()
        for entry in log:
            model.apply(entry)
        made = {}
        for entry in log:
            share = float(entry.value.split('"share":')[1].split(",")[0])
            assert share not in made, "an edit was made twice"
            made[share] = entry.revision
        for share, greenlet in system.edits:
            match greenlet.value:
                case EditConflict() | EditRefused():
                    assert share not in made
                case EditOutcomeUnknown():
                    pass
                case accepted:
                    assert made[share] == accepted.revision
        for _, replica, _ in system.entries:
            for customer in CUSTOMERS:
                expected = model.get("contract", customer)
                assert replica.store.get("contract", customer) == expected
        assert system.regressions == []
    finally:
        system.stop()
