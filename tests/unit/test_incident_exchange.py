"""Exchange of incidents between entries that run the same crashing request."""

from types import SimpleNamespace

import gevent

from bulrushdrum._internal.peering.messages import Incident, Suspects
from bulrushdrum._internal.routing.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.routing.incident_exchange import IncidentExchange


class Hub:
    """Entries in one process; what they send is queued until `deliver`."""

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
    # Guards against one more engine that dies because the other entry's incident is
    # on its way.
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


def test_a_suspect_that_runs_nowhere_else_goes_on_at_once():
    # Guards against a pause for every request that was on board of a dead engine.
    a, b = two_entries()
    b.running = {"unrelated"}
    a.exchange.report(Incident("i1", ("bad", "good")))
    waiting = gevent.spawn(a.exchange.wait_for_peers, "good")
    waiting.join(0.1)
    assert waiting.ready()


def test_a_silent_entry_does_not_hold_a_suspect_for_long():
    # Guards against a request that waits for an entry which is cut off.
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
    # Guards against a request held for as long as another entry streams its twin.
    a, b = two_entries()
    b.running = {"bad"}
    a.exchange.report(Incident("i1", ("bad",)))
    waiting = gevent.spawn(a.exchange.wait_for_peers, "bad")
    waiting.join(3.0)
    assert waiting.ready()
