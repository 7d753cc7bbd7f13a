"""HTTP client of this sidecar's model engine, see section 16 of the design page.

The exception type tells whether the engine may have run the request:
`EngineUnreachable` means that nothing was sent, `EngineLost` and `EngineRefused` that
it may have run.
"""

import http.client
import json
from contextlib import contextmanager
from typing import NamedTuple

import gevent
import urllib3
from gevent.monkey import get_original
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from bulrushdrum._internal.bounded_http import (
    BodyTooLarge,
    BoundedConnectionPool,
    BoundedResponse,
    ends_with_connection,
    read_body,
)
from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.settings.sidecar import SidecarSettings
from bulrushdrum._internal.sidecar.errors import (
    EngineLost,
    EngineRefused,
    EngineUnreachable,
)
from bulrushdrum._internal.world.addresses import parse_address

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 5.0
_JSON_HEADERS = {"Content-Type": "application/json"}


class LoadedModel(NamedTuple):
    """The properties of an engine that an order can change."""

    model: str
    model_version: str
    role: str
    adapters: tuple[str, ...]


class EngineState(NamedTuple):
    """The engine's description of itself, from `GET /v1/engine`."""

    model: str
    model_version: str
    first_layer: int
    end_layer: int
    model_layers: int
    accelerator: str
    tokens_per_second: float
    slots: int
    checks_fencing: bool
    role: str
    adapters: tuple[str, ...]

    @property
    def loaded_model(self) -> LoadedModel:
        return LoadedModel(self.model, self.model_version, self.role, self.adapters)


class EngineLoad(NamedTuple):
    """The engine's load report, which is `age_seconds` old."""

    running: int
    queued_tokens: int
    age_seconds: float


class PrefixCacheEvent(NamedTuple):
    """A prefix was stored in the engine's prefix cache or evicted from it."""

    sequence_number: int
    prefix: str
    stored: bool


class _Response(NamedTuple):
    """A response; only the end of the connection ends an unframed one."""

    status: int
    body: bytes
    is_unframed: bool


class _KeepAliveConnection:
    """A keep-alive connection for `POST /v1/steps`.

    A call takes 0.3 ms of processor time, against 0.6 ms with urllib3's pool. A sidecar
    makes up to a few hundred calls per second.
    """

    # gevent's patched `select` goes through the event loop, which doubles the cost of
    # the check.
    _select = staticmethod(get_original("select", "select"))

    def __init__(self, address: tuple[str, int]):
        self._connection = http.client.HTTPConnection(
            *address, timeout=CONNECT_TIMEOUT_SECONDS
        )
        self._connection.response_class = BoundedResponse

    def post(self, path: str, data: str, timeout: float, max_bytes: int) -> _Response:
        """Send a request and return the response.

        `timeout` bounds the whole call in seconds, however slowly bytes arrive.
        """
        self._ensure_connected()
        timer = gevent.Timeout(timeout)
        timer.start()
        try:
            self._connection.request("POST", path, data, _JSON_HEADERS)
            return _read_response(self._connection.getresponse(), max_bytes)
        except gevent.Timeout as error:
            self._connection.close()
            if error is not timer:
                raise
            message = f"no whole answer in {timeout:.1f} s"
            raise EngineLost(message, crashed=False) from error
        except (OSError, http.client.HTTPException, BodyTooLarge) as error:
            self._connection.close()
            crashed = not isinstance(error, (TimeoutError, BodyTooLarge))
            raise EngineLost(f"{type(error).__name__}: {error}", crashed) from error
        finally:
            timer.close()

    def close(self):
        self._connection.close()

    def _ensure_connected(self):
        sock = self._connection.sock
        if sock is not None and self._select([sock], [], [], 0)[0]:
            # An idle connection only becomes readable when the engine closes it, for
            # example because it restarted. Nothing of the next call was sent yet.
            self._connection.close()
        if self._connection.sock is None:
            try:
                self._connection.connect()
            except OSError as error:
                raise EngineUnreachable(str(error)) from error


class EngineClient:
    """Calls the engine at `settings.upstream_url`.

    Each call blocks the calling greenlet.
    """

    def __init__(self, settings: SidecarSettings):
        url = settings.upstream_url
        self._address = parse_address(url.removeprefix("http://").rstrip("/"))
        self._idle_connections: list[_KeepAliveConnection] = []
        self._step_timeout = settings.engine_timeout
        self._order_timeout = settings.order_timeout
        self._max_answer_bytes = settings.max_engine_answer_bytes
        self._pool = BoundedConnectionPool(*self._address, maxsize=4, retries=False)

    def _request(self, method, path, body=None, timeout=CONTROL_TIMEOUT_SECONDS):
        data = None if body is None else json.dumps(body, separators=(",", ":"))
        timer = gevent.Timeout(CONNECT_TIMEOUT_SECONDS + timeout)
        timer.start()
        try:
            return _decode_response(self._exchange(method, path, data, timeout))
        except gevent.Timeout as error:
            if error is not timer:
                raise
            message = f"no whole answer in {timeout:.1f} s"
            raise EngineLost(message, crashed=False) from error
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise EngineUnreachable(str(error)) from error
        except (HTTPError, OSError) as error:
            crashed = not isinstance(
                error, (ReadTimeoutError, TimeoutError, BodyTooLarge)
            )
            raise EngineLost(f"{type(error).__name__}: {error}", crashed) from error
        finally:
            timer.close()

    def _exchange(self, method, path, data, timeout):
        # `urlopen` takes 150 us less processor time than `request`.
        response = self._pool.urlopen(
            method,
            path,
            body=data,
            headers=_JSON_HEADERS,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=timeout),
            preload_content=False,
        )
        try:
            return _read_response(response, self._max_answer_bytes)
        except BaseException:
            response.close()
            raise
        finally:
            response.release_conn()

    def read_state(self) -> EngineState:
        return _parse_engine_state(self._request("GET", "/v1/engine"))

    def read_load(self) -> EngineLoad:
        raw = self._request("GET", "/v1/load")
        with _refuse_malformed_response():
            running, queued = int(raw["running"]), int(raw["queued_tokens"])
            return EngineLoad(running, queued, float(raw["age_seconds"]))

    def run_steps(self, steps: list[dict]) -> tuple[LoadedModel, dict]:
        """Run steps; return the model that ran them and the results.

        The results are keyed by (request, attempt). A connection may carry a late copy
        of an earlier answer, which is recognised by the positions that it names.
        """
        data = json.dumps({"steps": steps}, separators=(",", ":"))
        idle = self._idle_connections
        connection = idle.pop() if idle else _KeepAliveConnection(self._address)
        try:
            response = connection.post(
                "/v1/steps", data, self._step_timeout, self._max_answer_bytes
            )
        finally:
            idle.append(connection)
        raw = _decode_response(response)
        with _refuse_malformed_response():
            results = {
                (result["request"], result["attempt"]): result
                for result in raw["results"]
            }
            foreign = _foreign_results(steps, results)
        if foreign:
            connection.close()
            raise EngineLost(f"the answer is for other steps: {foreign}", crashed=False)
        with _refuse_malformed_response():
            loaded_model = LoadedModel(
                raw["model"], raw["model_version"], raw["role"], tuple(raw["adapters"])
            )
            return loaded_model, results

    def release(self, sequences: list[tuple[str, int]]):
        """Free the KV cache of (request, attempt) pairs."""
        items = [
            {"request": request, "attempt": attempt} for request, attempt in sequences
        ]
        self._request("POST", "/v1/release", {"sequences": items})

    def send_order(self, fencing: int, order: dict) -> EngineState:
        """Send an order; a stale fencing number raises `EngineRefused` with 409."""
        body = {"fencing": fencing, **order}
        return _parse_engine_state(
            self._request("POST", "/v1/orders", body, self._order_timeout)
        )

    def read_cache_events(self, after: int) -> list[PrefixCacheEvent]:
        """Return the prefix cache events after a sequence number."""
        raw = self._request("GET", f"/v1/cache-events?after={after}")
        with _refuse_malformed_response():
            return [
                PrefixCacheEvent(
                    int(event["sequence"]), str(event["prefix"]), event["stored"]
                )
                for event in raw["events"]
            ]


def _foreign_results(steps, results):
    """Return the keys of results that do not answer any of `steps`."""
    positions = {(step["request"], step["attempt"]): step["position"] for step in steps}
    return [
        key
        for key, result in results.items()
        if key not in positions
        or result.get("position", positions[key]) != positions[key]
    ]


@contextmanager
def _refuse_malformed_response():
    """Turn errors of reading a response body into `EngineRefused`."""
    try:
        yield
    except DECODING_ERRORS as error:
        raise EngineRefused(200, f"answer is malformed: {error!r}") from error


def _read_response(response, max_bytes):
    body = read_body(response, max_bytes)
    return _Response(response.status, body, ends_with_connection(response))


def _decode_response(response: _Response):
    if response.status != 200:
        raise EngineRefused(response.status, response.body.decode("utf-8", "replace"))
    try:
        return json.loads(response.body)
    except (ValueError, RecursionError) as error:
        if response.is_unframed:
            # An engine that crashes closes the connection inside the body.
            raise EngineLost(f"the answer was cut: {error}", crashed=True) from error
        raise EngineRefused(200, f"answer is not JSON: {error}") from error


def _parse_engine_state(raw) -> EngineState:
    with _refuse_malformed_response():
        return EngineState(
            str(raw["model"]),
            str(raw["model_version"]),
            int(raw["first_layer"]),
            int(raw["end_layer"]),
            int(raw["model_layers"]),
            str(raw.get("accelerator", "")),
            float(raw.get("tokens_per_second", 0.0)),
            int(raw.get("slots", 1)),
            bool(raw.get("checks_fencing", False)),
            str(raw.get("role", "")),
            tuple(raw.get("adapters", ())),
        )
