"""HTTP client for the layer orders and reports of model engines."""

import json
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import gevent
import urllib3
from urllib3.exceptions import HTTPError

from bulrushdrum._internal.bounded_http import BoundedConnectionPool, read_body
from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.platform.headers import parse_statements
from bulrushdrum._internal.platform.router_config import decode_layers
from bulrushdrum._internal.world.statements import UpstreamStatements
from bulrushdrum._internal.world.upstreams import LayerRange

# A report lists at most some hundred stalled requests.
_MAX_RESPONSE_BYTES = 1024 * 1024


class _EngineResponse(NamedTuple):
    status: int
    data: bytes
    headers: list[tuple[bytes, bytes]]


class OrderOutcome(StrEnum):
    """The result of an order; the values are those that the log records."""

    STARTED = "begun"
    ALREADY_HELD = "holds"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineReport(NamedTuple):
    """The state that an engine reports.

    `orders_accepted` counts the orders that it has accepted since its start. `stalled`
    holds the addresses of upstreams that requests of this engine wait for. `slowdown`
    is above 1 for an engine that is slower than its accelerator kind. `born` is when
    the engine started, as in its registration, or None if it does not say.
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
    born: int | None = None


class EngineCalls:
    """Client for the engines; `timeout` bounds each call, in seconds.

    `on_statements(address, statements)` is called with what the head of each response
    says of the state of its engine.
    """

    def __init__(
        self,
        timeout: float,
        on_statements: Callable[[str, UpstreamStatements], None] = lambda *_: None,
    ):
        self._timeout = timeout
        self._on_statements = on_statements
        # Calls are rare, and an idle connection would occupy one that requests need.
        self._pool_manager = urllib3.PoolManager(num_pools=4, maxsize=1, retries=False)
        self._pool_manager.pool_classes_by_scheme = {"http": BoundedConnectionPool}

    def order_layers(
        self, address, upstream_id, layers: LayerRange, expected_orders, urgent=False
    ):
        """Order an engine to hold `layers` and return an `OrderOutcome`.

        The engine accepts the order only if it is the incarnation `upstream_id` and has
        accepted `expected_orders` orders, so a late order has no effect. An urgent
        order aborts the requests that use layers to be unloaded; otherwise the engine
        waits for them to finish.
        """
        body = {
            "op": "place",
            "from": layers.first,
            "target": layers.end,
            "mode": "preempt" if urgent else "queue",
            "expected": expected_orders,
        }
        response = self._request("POST", address, "/order", upstream_id, body)
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
        """Return an engine's report, or None if it sent no valid one."""
        response = self._request("GET", address, "/report")
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
                born=None if raw.get("born") is None else int(raw["born"]),
            )
        except DECODING_ERRORS:
            return None

    def _request(self, method, address, path, upstream_id="", body=None):
        headers = {"Connection": "close"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        if upstream_id:
            headers["Bulrushdrum-Expect-Instance"] = upstream_id
        timer = gevent.Timeout(self._timeout)
        try:
            with timer:
                response = self._exchange(
                    method, f"http://{address}{path}", body, headers
                )
        except gevent.Timeout as error:
            if error is not timer:
                raise
            return None
        except (HTTPError, OSError):
            return None
        self._on_statements(
            address, parse_statements(response.status, response.headers)
        )
        return response

    def _exchange(self, method, url, body, headers):
        response = self._pool_manager.request(
            method,
            url,
            body=None if body is None else json.dumps(body).encode(),
            headers=headers,
            preload_content=False,
        )
        try:
            data = read_body(response, _MAX_RESPONSE_BYTES)
            response_headers = [
                (name.lower().encode("latin-1"), value.encode("latin-1"))
                for name, value in response.headers.items()
            ]
            return _EngineResponse(response.status, data, response_headers)
        finally:
            # Each call has a connection of its own.
            response.close()
            response.release_conn()
