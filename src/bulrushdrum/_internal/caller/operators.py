"""HTTP API for operators, served on its own address and secured by its own key."""

import hmac
import json
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, NamedTuple

import bottle

from bulrushdrum._internal.caller.receiving import RequestRefused, read_body
from bulrushdrum._internal.configuration.edits import ConfigurationEditor
from bulrushdrum._internal.configuration.errors import (
    EditConflict,
    EditOutcomeUnknown,
    EditRefused,
)
from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.platform.errors import PlatformError
from bulrushdrum._internal.records.errors import RecordUnreadable
from bulrushdrum._internal.world.upstreams import DesiredState

# Large enough for a contract with several thousand API keys.
MAX_BODY_BYTES = 512 * 1024
_CONTRACTS_PER_PAGE = 1000
_SECONDS_PER_DAY = 86_400.0
_STATUS_BY_CODE = {
    "unauthenticated": 401,
    "not_found": 404,
    "method_not_allowed": 405,
    "conflict": 409,
    "request_timeout": 408,
    "request_too_large": 413,
    "invalid": 400,
    "busy": 503,
    "not_ready": 503,
    "store_unavailable": 503,
    "store_behind": 503,
    "outcome_unknown": 504,
    "record_unreadable": 500,
    "internal_error": 500,
}

_CODE_BY_REFUSAL = {"invalid_request": "invalid", "overloaded": "busy"}


class OperatorServices(NamedTuple):
    """Dependencies of the operator routes.

    `upstreams()` returns the states reported by sidecars, as JSON objects by upstream
    id. `report(customer, start, end)` takes seconds since the epoch and returns a JSON
    object; it may raise `PlatformError`. `dump(node)` returns the state dump of a
    process, or `None` if it cannot be reached; an empty `node` means this process.
    """

    replica: ConfigurationReplica
    editor: ConfigurationEditor
    upstreams: Callable[[], dict[str, dict]]
    report: Callable[[str, float, float], dict]
    dump: Callable[[str], dict | None]


class OperatorError(Exception):
    """An error sent to the operator, with `details` as extra fields of its JSON."""

    def __init__(self, code: str, message: str, **details):
        super().__init__(message)
        self.code = code
        self.details = details

    def response(self) -> bottle.HTTPResponse:
        body = {"code": self.code, "message": str(self), **self.details}
        headers = {"Content-Type": "application/json"}
        if self.code == "unauthenticated":
            headers["WWW-Authenticate"] = "Bearer"
        return bottle.HTTPResponse(
            json.dumps({"error": body}), _STATUS_BY_CODE[self.code], headers
        )


def to_operator_error(error: Exception) -> OperatorError:
    """Convert an exception from a lower layer to an `OperatorError`."""
    match error:
        case OperatorError():
            return error
        case RequestRefused():
            code = _CODE_BY_REFUSAL.get(error.code, error.code)
            return OperatorError(code, str(error))
        case EditConflict():
            return OperatorError(
                "conflict", str(error), value=error.value, revision=error.revision
            )
        case EditRefused():
            return OperatorError(error.code, str(error))
        case EditOutcomeUnknown():
            return OperatorError("outcome_unknown", str(error), edit_id=error.edit_id)
        case RecordUnreadable():
            return OperatorError("record_unreadable", str(error))
        case PlatformError():
            return OperatorError("store_unavailable", str(error))
        case _:
            log_event(Event.INTERNAL_ERROR, where="operators", error=repr(error))
            return OperatorError("internal_error", "internal error, see the log")


class OperatorApp:
    """WSGI application for operators, who send `operator_key` as bearer token."""

    def __init__(self, services: OperatorServices, operator_key: str):
        self._services = services
        self._operator_key = operator_key.encode()
        self._app = bottle.Bottle()
        self._app.default_error_handler = self._default_error
        for path, method, handler in (
            ("contracts", "GET", self._contracts),
            ("contracts/<customer>", "GET", self._contract),
            ("contracts/<customer>", "PUT", self._set_contract),
            ("upstreams", "GET", self._upstreams),
            ("upstreams/<upstream>", "GET", self._upstream),
            ("upstreams/<upstream>", "PUT", self._set_upstream),
            ("report/<customer>", "GET", self._report),
            ("dump", "GET", self._dump),
        ):
            self._app.route(
                f"/v1/operator/{path}", method, self._with_error_responses(handler)
            )

    @property
    def wsgi(self):
        return self._app

    def _with_error_responses(self, handler):
        def guarded(**arguments):
            try:
                self._authenticate()
                return handler(**arguments)
            except Exception as error:
                return to_operator_error(error).response()

        return guarded

    def _default_error(self, response):
        code = {404: "not_found", 405: "method_not_allowed"}.get(response.status_code)
        code = code or ("invalid" if response.status_code < 500 else "internal_error")
        if code == "internal_error":
            error = repr(response.exception)
            log_event(Event.INTERNAL_ERROR, where="operators", error=error)
        bottle.response.content_type = "application/json"
        body = {"code": code, "message": response.status_line}
        return json.dumps({"error": body})

    def _authenticate(self):
        # bottle's `get_header` raises on bytes that are not UTF-8.
        header = bottle.request.environ.get("HTTP_AUTHORIZATION", "")
        scheme, _, key = header.partition(" ")
        # compare_digest accepts only ASCII strings, but any bytes.
        received_key = key.strip().encode(errors="replace")
        if scheme.lower() != "bearer" or not hmac.compare_digest(
            received_key, self._operator_key
        ):
            raise OperatorError(
                "unauthenticated", "the Authorization header lacks the operator key"
            )

    # Contracts.

    def _contracts(self):
        query = bottle.request.query
        prefix, after = query.getunicode("prefix", ""), query.getunicode("after", "")
        replica = self._ready_replica()
        names = [
            name
            for name in replica.customers()
            if name > after and name.startswith(prefix)
        ]
        rows = [self._contract_row(name) for name in names[:_CONTRACTS_PER_PAGE]]
        return {
            "revision": replica.revision,
            "contracts": [row for row in rows if row is not None],
            "more": len(names) > _CONTRACTS_PER_PAGE,
        }

    def _contract(self, customer):
        self._ready_replica()
        row = self._contract_row(customer)
        if row is None:
            raise OperatorError("not_found", f"customer {customer!r} has no contract")
        return row

    def _contract_row(self, customer):
        replica = self._services.replica
        contract = replica.contract(customer)
        if contract is None:
            return None
        revision = replica.store.revision_of("contract", customer)
        return {"revision": revision, "contract": contract._asdict()}

    def _set_contract(self, customer):
        return self._edit("contract", customer, "contract")

    # Upstreams.

    def _upstreams(self):
        replica, seen = self._ready_replica(), self._services.upstreams()
        names = sorted({*replica.store.keys("upstream"), *seen})
        return {"upstreams": [self._upstream_row(name, seen) for name in names]}

    def _upstream(self, upstream):
        replica, seen = self._ready_replica(), self._services.upstreams()
        if upstream not in seen and not replica.store.get("upstream", upstream):
            raise OperatorError("not_found", f"upstream {upstream!r} is not known")
        return self._upstream_row(upstream, seen)

    def _upstream_row(self, upstream, seen):
        desired_row = self._services.replica.desired(upstream)
        revision, desired = (
            desired_row if desired_row is not None else (0, DesiredState())
        )
        return {
            "upstream": upstream,
            "revision": revision,
            "desired": desired._asdict(),
            "seen": seen.get(upstream),
        }

    def _set_upstream(self, upstream):
        return self._edit("upstream", upstream, "desired")

    # Report and dump.

    def _report(self, customer):
        end = _parse_time_parameter("to", datetime.now(UTC).timestamp())
        start = _parse_time_parameter("from", end - _SECONDS_PER_DAY)
        if not start < end:
            raise OperatorError("invalid", "'from' must be before 'to'")
        return self._services.report(customer, start, end)

    def _dump(self):
        node = bottle.request.query.getunicode("node", "")
        state = self._services.dump(node)
        if state is None:
            raise OperatorError("not_found", f"node {node!r} is not connected")
        return state

    def _ready_replica(self):
        if not self._services.replica.ready:
            raise OperatorError("not_ready", "the configuration is not loaded yet")
        return self._services.replica

    def _edit(self, kind, key, field):
        body = _read_json_body()
        unknown = sorted(body.keys() - {field, "expected_revision", "edit_id"})
        revision, edit_id = body.get("expected_revision"), body.get("edit_id", "")
        problems = [f"{name}: unknown field" for name in unknown]
        if field not in body:
            problems.append(f"{field}: missing")
        if type(revision) is not int or revision < 0:
            problems.append(
                f"expected_revision: {revision!r} is not the revision you last saw, "
                "or 0 for a new one"
            )
        if not isinstance(edit_id, str) or len(edit_id) > 64 or not edit_id.isascii():
            problems.append(f"edit_id: {edit_id!r} is not up to 64 ASCII letters")
        if problems:
            raise OperatorError("invalid", "; ".join(problems))
        self._ready_replica()
        accepted = self._services.editor.edit(kind, key, body[field], revision, edit_id)
        return accepted._asdict()


def _read_json_body() -> dict[str, Any]:
    data = read_body(bottle.request, MAX_BODY_BYTES)
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise OperatorError("invalid", f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise OperatorError("invalid", "the body is not a JSON object")
    return body


def _parse_time_parameter(name, default):
    """Parse a query parameter as an ISO 8601 time; return seconds since the epoch."""
    text = bottle.request.query.getunicode(name, "")
    if not text:
        return default
    try:
        time = datetime.fromisoformat(text)
        return time.replace(tzinfo=time.tzinfo or UTC).timestamp()
    except (ValueError, OverflowError) as error:
        raise OperatorError(
            "invalid", f"{name}: {text!r} is not like '2026-12-04T10:00:00Z'"
        ) from error
