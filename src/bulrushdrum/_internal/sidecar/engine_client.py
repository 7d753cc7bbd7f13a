"""Client of the model engine beside this sidecar, see section 16 of the design page.

Errors say whether the engine may have run what was sent: `EngineUnreachable` means that
nothing was sent, `EngineLost` and `EngineRefused` that it may have run.
"""

import http.client
import json
from contextlib import contextmanager
from typing import NamedTuple

import urllib3
from gevent.monkey import get_original
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

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
    """Everything at an engine that an order can change."""

    model: str
    model_version: str
    role: str
    adapters: tuple[str, ...]


class EngineState(NamedTuple):
    """What the engine says of itself."""

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
    """The engine's load report, which lags by `age_seconds`."""

    running: int
    queued_tokens: int
    age_seconds: float


class CacheChange(NamedTuple):
    """A prefix was stored in the engine's cache or evicted from it."""

    sequence: int
    prefix: str
    stored: bool


class _StepConnection:
    """A kept-alive connection for the calls of the step path.

    urllib3's pool costs 0.6 ms of processor time a call and this 0.3 ms; a sidecar
    makes up to some hundred calls a second.
    """

    # The patched one costs as much as the rest of the check: it asks the event loop.
    _select = staticmethod(get_original("select", "select"))

    def __init__(self, address: tuple[str, int]):
        self._connection = http.client.HTTPConnection(
            *address, timeout=CONNECT_TIMEOUT_SECONDS
        )

    def post(self, path: str, data: str, timeout: float) -> tuple[int, bytes]:
        """Return the status and body of the answer."""
        self._ensure_connected()
        self._connection.sock.settimeout(timeout)
        try:
            self._connection.request("POST", path, data, _JSON_HEADERS)
            response = self._connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            self._connection.close()
            crashed = not isinstance(error, TimeoutError)
            raise EngineLost(f"{type(error).__name__}: {error}", crashed) from error

    def _ensure_connected(self):
        sock = self._connection.sock
        if sock is not None and self._select([sock], [], [], 0)[0]:
            # Between calls only the end of the stream can arrive: the engine is gone,
            # or another one is in its place. Nothing of the next call was sent to it.
            self._connection.close()
        if self._connection.sock is None:
            try:
                self._connection.connect()
            except OSError as error:
                raise EngineUnreachable(str(error)) from error


class EngineClient:
    """Calls the engine at `url`; each call blocks the calling greenlet."""

    def __init__(self, url: str, step_timeout: float, order_timeout: float):
        self._address = parse_address(url.removeprefix("http://").rstrip("/"))
        self._idle_connections: list[_StepConnection] = []
        self._step_timeout = step_timeout
        self._order_timeout = order_timeout
        self._pool = urllib3.connection_from_url(url, maxsize=4, retries=False)

    def _request(self, method, path, body=None, timeout=CONTROL_TIMEOUT_SECONDS):
        data = None if body is None else json.dumps(body, separators=(",", ":"))
        try:
            # `urlopen` costs 150 us of processor time less than `request`.
            response = self._pool.urlopen(
                method,
                path,
                body=data,
                headers=_JSON_HEADERS,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=timeout),
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise EngineUnreachable(str(error)) from error
        except (HTTPError, OSError) as error:
            crashed = not isinstance(error, (ReadTimeoutError, TimeoutError))
            raise EngineLost(f"{type(error).__name__}: {error}", crashed) from error
        return _decoded(response.status, response.data)

    def describe(self) -> EngineState:
        return _engine_state(self._request("GET", "/v1/engine"))

    def load(self) -> EngineLoad:
        raw = self._request("GET", "/v1/load")
        with _malformed_is_refused():
            running, queued = int(raw["running"]), int(raw["queued_tokens"])
            return EngineLoad(running, queued, float(raw["age_seconds"]))

    def run_steps(self, steps: list[dict]) -> tuple[LoadedModel, dict]:
        """Run steps; return what the engine held when it ran them, and their results.

        The results are by (request, attempt).
        """
        data = json.dumps({"steps": steps}, separators=(",", ":"))
        idle = self._idle_connections
        connection = idle.pop() if idle else _StepConnection(self._address)
        try:
            answer = connection.post("/v1/steps", data, self._step_timeout)
        finally:
            idle.append(connection)
        raw = _decoded(*answer)
        with _malformed_is_refused():
            results = {(one["request"], one["attempt"]): one for one in raw["results"]}
            loaded_model = LoadedModel(
                raw["model"], raw["model_version"], raw["role"], tuple(raw["adapters"])
            )
            return loaded_model, results

    def release(self, sequences: list[tuple[str, int]]):
        """Free the KV cache of (request, attempt) pairs."""
        items = [{"request": one, "attempt": two} for one, two in sequences]
        self._request("POST", "/v1/release", {"sequences": items})

    def give_order(self, fencing: int, order: dict) -> EngineState:
        """Give an order; a stale fencing number raises `EngineRefused` with 409."""
        body = {"fencing": fencing, **order}
        return _engine_state(
            self._request("POST", "/v1/orders", body, self._order_timeout)
        )

    def cache_changes(self, after: int) -> list[CacheChange]:
        """Return changes of the prefix cache after a sequence number."""
        raw = self._request("GET", f"/v1/cache-events?after={after}")
        with _malformed_is_refused():
            return [
                CacheChange(int(one["sequence"]), str(one["prefix"]), one["stored"])
                for one in raw["events"]
            ]


@contextmanager
def _malformed_is_refused():
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise EngineRefused(200, f"answer is malformed: {error!r}") from error


def _decoded(status, data):
    if status != 200:
        raise EngineRefused(status, data.decode("utf-8", "replace"))
    try:
        return json.loads(data)
    except ValueError as error:
        raise EngineRefused(200, f"answer is not JSON: {error}") from error


def _engine_state(raw) -> EngineState:
    with _malformed_is_refused():
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
