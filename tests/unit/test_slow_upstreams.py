"""Upstreams that run slower than their kind, known to all routers.

Load: a part of the engines is many times slower for some seconds. Requests queue there
unless routers choose other paths, and each router alone sees few of the engines.
"""

import json

import gevent
import pytest
from tests.unit.pool_fakes import make_engine

from bulrushdrum._internal.coordination.peer_messages import PeerMessages
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.pipelines.slow_upstreams import SlowUpstreams
from bulrushdrum._internal.platform.engine_calls import EngineReport
from bulrushdrum._internal.world.upstreams import LayerRange


class Network:
    """Routers that share engines and a clock; messages arrive at once, or are lost."""

    def __init__(self, *names):
        self.now, self.is_cut = 100.0, False
        self.paces = {"a": 1.0, "b": 1.0}
        self.reports = []
        self.routers = {name: self._add(name) for name in names}

    def _add(self, name):
        fleet = Fleet(clock=lambda: self.now)
        for engine in self.paces:
            fleet.put(make_engine(engine, layers=(0, 20), address=engine))
        messages = PeerMessages(name, "i", self._send, self._addresses)
        slowdowns = {}
        slow = SlowUpstreams(
            fleet,
            messages,
            self._report,
            slowdowns.__setitem__,
            clock=lambda: self.now,
        )
        return fleet, messages, slowdowns, slow

    def _addresses(self):
        return {name: (name, 1) for name in self.routers}

    def _send(self, name, _address, data):
        if not self.is_cut:
            self.routers[name][1].receive(json.loads(data))

    def _report(self, address):
        self.reports.append(address)
        pace = self.paces[address]
        if pace is None:
            return None
        return EngineReport(0, False, 0, 0, 0.0, 0.0, pace, None, frozenset())

    def check(self, name, path="ab"):
        hops = tuple(
            Hop(self.routers[name][0].get(engine), LayerRange(0, 20)) for engine in path
        )
        self.routers[name][3].check_path(hops)
        gevent.sleep(0)

    def wait(self, seconds):
        for _ in range(round(seconds / 0.5)):
            self.now += 0.5
            for *_, slow in self.routers.values():
                slow.run_maintenance()
            gevent.sleep(0)

    def slowdown(self, name, engine="a"):
        return self.routers[name][2].get(engine, 1.0)


@pytest.fixture
def network():
    return Network("r1", "r2", "r3")


def test_what_one_router_learns_the_others_use(network):
    # Guards against queues at slow engines that each router must find by itself.
    network.paces["a"] = 12.0
    network.check("r1")
    assert [network.slowdown(name) for name in network.routers] == [12.0] * 3
    assert network.slowdown("r1", "b") == 1.0


def test_engines_are_not_asked_by_each_router(network):
    # Guards against reports that slow down engines which are slow already.
    for name in network.routers:
        network.check(name)
        network.check(name)
    assert sorted(network.reports) == ["a", "b"]


def test_an_engine_that_is_fast_again_is_used_again(network):
    # Guards against engines that count as slow for good.
    network.paces["a"] = 12.0
    network.check("r1")
    network.wait(5.0)
    assert network.slowdown("r3") == 12.0
    network.paces["a"] = 1.0
    network.wait(2.0)
    assert [network.slowdown(name) for name in network.routers] == [1.0] * 3


def test_a_pace_is_forgotten_if_its_router_stops_asking(network):
    # Guards against engines that stay slow because a router was killed.
    network.paces["a"] = 12.0
    network.check("r1")
    del network.routers["r1"]
    network.wait(4.0)
    assert network.slowdown("r2") == 1.0


def test_a_router_that_is_cut_off_forgets_what_it_was_told(network):
    network.paces["a"] = 12.0
    network.check("r1")
    network.is_cut = True
    network.wait(4.0)
    assert (network.slowdown("r1"), network.slowdown("r2")) == (12.0, 1.0)


@pytest.mark.parametrize("body", [["a", 1, -1], ["a", 1], {}, ["a", 0, "x"], None])
def test_a_malformed_pace_changes_nothing(network, body):
    # Guards against a listener that ends with a message of a newer release.
    _, messages, slowdowns, _ = network.routers["r1"]
    raw = {"kind": "paces", "node": "r2", "incarnation": "i", "body": body}
    with pytest.raises((ValueError, TypeError, LookupError)):
        messages.receive(raw)
    assert slowdowns == {}


def test_a_pace_of_an_earlier_incarnation_does_not_count(network):
    fleet, messages, slowdowns, _ = network.routers["r1"]
    fleet.put(fleet.get("a")._replace(born=fleet.get("a").born + 1))
    body = ["a", fleet.get("a").born - 1, 12.0]
    messages.receive({"kind": "paces", "node": "r2", "incarnation": "i", "body": body})
    assert slowdowns == {}


def test_an_engine_that_does_not_report_is_not_slow(network):
    network.paces["a"] = None
    network.check("r1")
    assert network.slowdown("r1") == 1.0
