"""Client of the model engine beside this sidecar, see section 16 of the design page.

Errors say whether the engine may have run what was sent: `EngineUnreachable` means that
nothing was sent, `EngineLost` and `EngineRefused` that it may have run.
"""

import json
from typing import NamedTuple

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from bulrushdrum._internal.sidecar.errors import (
    EngineLost,
    EngineRefused,
    EngineUnreachable,
)

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 5.0
_JSON_HEADERS = {"Content-Type": "application/json"}


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


class EngineLoad(NamedTuple):
    """The engine's load report, which lags by `age_seconds`."""

    running: int
    queued_tokens: int
    age_seconds: float


class EngineClient:
    """Calls the engine at `url`; each call blocks the calling greenlet."""

    def __init__(self, url: str, step_timeout: float, order_timeout: float):
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
            raise EngineLost(f"{type(error).__name__}: {error}") from error
        if response.status != 200:
            raise EngineRefused(
                response.status, response.data.decode("utf-8", "replace")
            )
        try:
            return json.loads(response.data)
        except ValueError as error:
            raise EngineRefused(200, f"answer is not JSON: {error}") from error

    def describe(self) -> EngineState:
        return _engine_state(self._request("GET", "/v1/engine"))

    def load(self) -> EngineLoad:
        raw = self._request("GET", "/v1/load")
        return EngineLoad(
            int(raw["running"]), int(raw["queued_tokens"]), float(raw["age_seconds"])
        )

    def run_steps(self, steps: list[dict]) -> tuple[str, list[dict]]:
        """Run steps and return the model version that ran them and their results."""
        raw = self._request("POST", "/v1/steps", {"steps": steps}, self._step_timeout)
        return raw["model_version"], raw["results"]

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

    def cache_events(self, after: int) -> list[dict]:
        return self._request("GET", f"/v1/cache-events?after={after}")["events"]


def _engine_state(raw) -> EngineState:
    try:
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
    except (KeyError, TypeError, ValueError) as error:
        raise EngineRefused(200, f"engine state is malformed: {error!r}") from error
