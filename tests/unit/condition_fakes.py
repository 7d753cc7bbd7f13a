"""Routers that exchange conditions over a simulated network, on one simulated clock."""

import heapq
import itertools
import json
import random

from tests.unit.pool_fakes import make_engine

from bulrushdrum._internal.conditions.exchange import ConditionExchange
from bulrushdrum._internal.coordination.peer_messages import PeerMessages
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.pipelines.memory_reservations import Hop
from bulrushdrum._internal.pipelines.silent_upstreams import Silence


class Router:
    """One router; `utilization` and `working` are what it knows of upstreams."""

    def __init__(self, network, name, incarnation, upstreams):
        clock = network.clock
        self.network, self.name, self.incarnation = network, name, incarnation
        self.utilization, self.working, self.is_running = 0.0, frozenset(), True
        self.fleet = Fleet(clock, name, seed=name)
        for upstream_id in upstreams:
            self.fleet.put(make_engine(upstream_id))
        self.messages = PeerMessages(
            name, incarnation, self._send, network.addresses, clock
        )
        self.exchange = ConditionExchange(
            self.fleet,
            self.messages,
            lambda upstream: self.utilization,
            lambda: self.working,
            clock,
            network.call_later,
        )
        self.claims.routers = len(network.names)

    @property
    def claims(self):
        return self.fleet.claims

    def _send(self, target, address, data):
        if self.is_running and target != self.name:
            self.network.send(self.name, target, data)

    def announce(self):
        raw = json.dumps(self.exchange.announcement()).encode()
        for target in self.network.addresses():
            self._send(target, None, b"%s %s" % (self.incarnation.encode(), raw))

    def receive(self, sender, data):
        if data.startswith(b"{"):
            self.messages.receive(json.loads(data))
        else:
            incarnation, _, raw = data.decode().partition(" ")
            self.exchange.apply_announcement(sender, incarnation, json.loads(raw))

    def upstream(self, upstream_id, born=1):
        return make_engine(upstream_id, born=born)

    def refuse(self, upstream_id, born=1):
        self.exchange.report_refusal(self.upstream(upstream_id, born))

    def succeed(self, upstream_id, sent_at=None, born=1):
        hop = Hop(self.upstream(upstream_id, born), None)
        at = self.network.now if sent_at is None else sent_at
        self.exchange.record_events([hop], at)

    def report_silence(self, path, delivers=True, born=1):
        hops = tuple(
            Hop(self.upstream(upstream_id, born), None) for upstream_id in path
        )
        self.exchange.report_silence(hops, Silence(frozenset(path), delivers))

    def avoids(self, upstream_id):
        return self.fleet.is_avoided(upstream_id)


class Network:
    """Delivers datagrams after `delay()` seconds each, or never if that is None."""

    def __init__(self, *names, upstreams="abcdefgh"):
        self.now, self.names = 100.0, names
        self.delay = lambda: 0.001
        self.copies, self.cut_off = 1, set()
        self.sizes = []
        self._due, self._numbers = [], itertools.count()
        self._upstreams = upstreams
        self.routers = {}
        for name in names:
            self.start(name)

    def clock(self):
        return self.now

    def addresses(self):
        return dict.fromkeys(self.names)

    def start(self, name):
        """Start a router, or a new incarnation of it."""
        if name in self.routers:
            self.routers[name].is_running = False
        incarnation = f"{name}#{next(self._numbers)}"
        self.routers[name] = Router(self, name, incarnation, self._upstreams)
        return self.routers[name]

    def call_later(self, seconds, call):
        heapq.heappush(self._due, (self.now + seconds, next(self._numbers), call))

    def send(self, sender, target, data):
        self.sizes.append(len(data))
        if {sender, target} & self.cut_off:
            return
        for _ in range(self.copies):
            delay = self.delay()
            if delay is not None:
                self.call_later(delay, lambda: self._deliver(sender, target, data))

    def _deliver(self, sender, target, data):
        self.routers[target].receive(sender, data)

    def advance(self, seconds):
        """Let time pass, and deliver what is due meanwhile."""
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = end

    def make_unreliable(self, seed, max_delay=0.3):
        """Lose, repeat, delay and reorder datagrams from now on."""
        draw = random.Random(seed)
        self.copies = 2
        self.delay = lambda: (
            None if draw.random() < 0.4 else draw.uniform(0.0, max_delay)
        )
