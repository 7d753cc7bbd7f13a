"""Tests of the exchange of incidents between entries that run the same request."""

from types import SimpleNamespace

import gevent

from bulrushdrum._internal.peering.shared_state_messages import Incident, Suspects
from bulrushdrum._internal.routing.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.routing.incident_exchange import IncidentExchange


class Hub:
    """Peer hub of one entry; each message is delivered in a new greenlet."""

    def __init__(self, name, network):
        self.name, self._network = name, network
        network[name] = self

    def register(self, _kind, handler):
        self._handler = handler

    def on_connected(self, _callback):
        pass

    def connections(self, _kind):
        others = [name for name in self._network if name != self.name]
        return [self._connection(name) for name in others]

    def broadcast(self, kind, message):
        for connection in self.connections(kind):
            connection.send(message)

    def _connection(self, name):
        peer = SimpleNamespace(incarnation=name, kind="entry")

        def send(message):
            target = self._network[name]
            gevent.spawn(target.receive, self.name, message)

        return SimpleNamespace(peer=peer, send=send)

    def receive(self, sender, message):
        self._handler(self._connection(sender), message)


class Entry:
    """An incident exchange with its quarantine and the requests it is running."""

    def __init__(self, name, network):
        self.running = set()
        self.quarantine = CrashQuarantine()
        self.exchange = IncidentExchange(
            Hub(name, network), self.quarantine, lambda: self.running
        )


def two_entries():
    network = {}
    return Entry("a", network), Entry("b", network)


def test_a_suspect_waits_for_the_incident_of_another_entry_that_runs_it():
    # Guards against another engine crash while the incident of the other entry is
    # still in transit.
    a, b = two_entries()
    b.running = {"bad"}
    a.exchange.report(Incident("i1", ("bad", "good")))
    waiting = gevent.spawn(a.exchange.wait_for_peers, "bad")
    gevent.sleep(0.1)
    assert not waiting.ready()
    b.exchange.report(Incident("i2", ("bad", "other")))
    waiting.join(0.1)
    assert waiting.ready()
    assert a.quarantine.is_quarantined("bad")


def test_a_suspect_that_no_other_entry_runs_continues_at_once():
    # Guards against a delay of every request that a crashed engine was running.
    a, b = two_entries()
    b.running = {"unrelated"}
    a.exchange.report(Incident("i1", ("bad", "good")))
    waiting = gevent.spawn(a.exchange.wait_for_peers, "good")
    waiting.join(0.1)
    assert waiting.ready()


def test_a_silent_entry_delays_a_suspect_only_briefly():
    # Guards against a request that waits for an entry that is partitioned.
    network = {}
    a = Entry("a", network)
    Hub("silent", network).register(Suspects, lambda *_: None)
    a.exchange.report(Incident("i1", ("bad",)))
    waiting = gevent.spawn(a.exchange.wait_for_peers, "bad")
    gevent.sleep(0.2)
    assert not waiting.ready()
    waiting.join(0.6)
    assert waiting.ready()


def test_a_running_request_that_does_not_crash_ends_the_wait_in_bounded_time():
    # Guards against a request that waits until another entry has finished the same one.
    a, b = two_entries()
    b.running = {"bad"}
    a.exchange.report(Incident("i1", ("bad",)))
    waiting = gevent.spawn(a.exchange.wait_for_peers, "bad")
    waiting.join(3.0)
    assert waiting.ready()
