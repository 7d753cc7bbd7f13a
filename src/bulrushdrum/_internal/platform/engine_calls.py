"""Orders to model engines and their state, over HTTP."""

import json
from enum import StrEnum
from typing import NamedTuple

import gevent
import urllib3
from urllib3.exceptions import HTTPError

from bulrushdrum._internal.platform.router_config import decode_layers
from bulrushdrum._internal.world.upstreams import LayerRange


class OrderOutcome(StrEnum):
    """What an engine said of an order."""

    STARTED = "begun"
    ALREADY_HELD = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineReport(NamedTuple):
    """An engine's own account of its state.

    `orders_accepted` counts the orders that it has begun since its start. `stalled`
    has the addresses of upstreams that requests of this engine wait for; `slowdown` is
    above 1 for an engine that is slower than its kind.
    """

    orders_accepted: int
    is_busy: bool
    queued: int
    running: int
    used_token_layers: float
    total_token_layers: float
    slowdown: float
    layers: LayerRange | None
    stalled: frozenset[str]


class EngineCalls:
    """Calls to engines; `timeout` bounds each of them, in seconds."""

    def __init__(self, timeout: float):
        self._timeout = timeout
        # Calls are rare, and an idle connection would take one that requests need.
        self._pools = urllib3.PoolManager(num_pools=4, maxsize=1, retries=False)

    def order_layers(
        self, address, upstream_id, layers: LayerRange, expected_orders, urgent=False
    ):
        """Order an engine to hold `layers` and return an `OrderOutcome`.

        The engine obeys only while it is the incarnation `upstream_id` and has accepted
        `expected_orders` orders, so an order that arrives late changes nothing.
        Requests that pass through
        layers that it gives up are cut off by an urgent order, else waited for.
        """
        body = {
            "op": "place",
            "from": layers.first,
            "target": layers.end,
            "mode": "preempt" if urgent else "queue",
            "expected": expected_orders,
        }
        response = self._call("POST", address, "/order", upstream_id, body)
        match response.status if response is not None else None:
            case 202:
                return OrderOutcome.STARTED
            case 200:
                return OrderOutcome.ALREADY_HELD
            case 409 | 412 | 421 | 400 | 404:
                return OrderOutcome.REFUSED
            case _:
                return OrderOutcome.UNKNOWN

    def report(self, address) -> EngineReport | None:
        """Return an engine's report, or None if it gave none."""
        response = self._call("GET", address, "/report")
        if response is None or response.status != 200:
            return None
        try:
            raw = json.loads(response.data)
            return EngineReport(
                orders_accepted=int(raw.get("seq-no", 0)),
                is_busy=bool(raw.get("busy", False)),
                queued=int(raw.get("queued", 0)),
                running=int(raw.get("running", 0)),
                used_token_layers=float(raw.get("kv-used", 0)),
                total_token_layers=float(raw.get("kv-total", 0)),
                slowdown=float(raw.get("pace", 1.0)),
                layers=decode_layers(raw.get("layers")),
                stalled=frozenset(
                    str(entry["address"]) for entry in raw.get("stalled", ())
                ),
            )
        except (KeyError, TypeError, ValueError, AttributeError):
            return None

    def _call(self, method, address, path, upstream_id="", body=None):
        headers = {"Connection": "close"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        if upstream_id:
            headers["Bulrushdrum-Expect-Instance"] = upstream_id
        try:
            with gevent.Timeout(self._timeout):
                return self._pools.request(
                    method,
                    f"http://{address}{path}",
                    body=None if body is None else json.dumps(body).encode(),
                    headers=headers,
                )
        except (HTTPError, OSError, gevent.Timeout):
            return None
