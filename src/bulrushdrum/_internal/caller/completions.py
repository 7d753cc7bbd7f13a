"""Chat completions: request validation, execution and response formatting.

Each request runs in its own greenlet. A non-idempotent request therefore completes even
if the caller disconnects, and its result is available when the caller sends the key
again.
"""

import json
import secrets
import time
from dataclasses import dataclass
from typing import NamedTuple

import gevent
from gevent.queue import Queue

from bulrushdrum._internal.caller.errors import CallerError, to_caller_error
from bulrushdrum._internal.observability.events import Event, log_event
from bulrushdrum._internal.routing.tokenizer import encode_prompt
from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.world.contracts import Contract
from bulrushdrum._internal.world.requests import (
    ChatRequest,
    new_request_id,
    request_fingerprint,
)

DEFAULT_ANSWER_TOKENS = 256
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255


def _invalid_request(message):
    return CallerError("invalid_request", message)


def _parse_messages_field(value):
    if not isinstance(value, list) or not value:
        raise _invalid_request(f"messages: {value!r:.100} is not a list with a message")
    for index, message in enumerate(value):
        valid = isinstance(message, dict) and isinstance(message.get("role"), str)
        if not valid or not isinstance(message.get("content"), str):
            raise _invalid_request(
                f"messages[{index}]: role and content must be strings"
            )
    return value


def _parse_integer_field(body, name, default, low, high):
    value = body.get(name, default)
    if type(value) is not int or not low <= value <= high:
        raise _invalid_request(
            f"{name}: {value!r:.100} is not an integer in {low}..{high}"
        )
    return value


def parse_idempotency_key(key: str) -> str:
    """Validate an `Idempotency-Key` header; raises `CallerError`."""
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not key.isprintable():
        raise _invalid_request(
            f"Idempotency-Key has {len(key)} characters or is not printable; "
            f"up to {MAX_IDEMPOTENCY_KEY_CHARACTERS} printable characters are allowed"
        )
    return key


class ParsedChatRequest(NamedTuple):
    """A validated chat request and whether its response is to be streamed."""

    request: ChatRequest
    stream: bool


def parse_chat_request(
    raw_body: bytes, key: str, contract: Contract, settings: EntrySettings
) -> ParsedChatRequest:
    """Parse and validate the body of a chat completion; raises `CallerError`."""
    try:
        body = json.loads(raw_body)
    except (ValueError, RecursionError) as error:
        raise _invalid_request(f"the body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise _invalid_request("the body is not a JSON object")
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _invalid_request(f"model: {model!r:.100} is not the name of a model")
    try:
        prompt = encode_prompt(_parse_messages_field(body.get("messages")))
    except UnicodeEncodeError as error:
        raise _invalid_request(f"messages: not valid Unicode text: {error}") from error
    if len(prompt) > settings.max_prompt_tokens:
        raise _invalid_request(
            f"messages: {len(prompt)} tokens are over the limit of "
            f"{settings.max_prompt_tokens}"
        )
    max_tokens = _parse_integer_field(
        body, "max_tokens", DEFAULT_ANSWER_TOKENS, 1, settings.max_answer_tokens
    )
    seed = _parse_integer_field(body, "seed", secrets.randbits(62), 0, 2**63 - 1)
    metadata = body.get("metadata") or {}
    kind = metadata.get("kind", "") if isinstance(metadata, dict) else None
    if not isinstance(kind, str):
        raise _invalid_request("metadata: must be an object whose kind is a string")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        raise _invalid_request(f"stream: {stream!r:.100} is not true or false")
    request = ChatRequest(
        request_id=new_request_id(settings.node),
        customer=contract.customer,
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        seed=seed,
        kind=kind,
        idempotency_key=key,
        non_idempotent=contract.is_non_idempotent_chat(kind),
        fingerprint=request_fingerprint(contract.customer, raw_body),
    )
    return ParsedChatRequest(request, stream)


@dataclass(frozen=True)
class TokenPart:
    """The text of one generated token."""

    text: str


@dataclass(frozen=True)
class EndPart:
    """The end of a complete answer."""

    finish_reason: str
    answer_tokens: int
    chain: tuple[str, ...]
    attempts: int


@dataclass(frozen=True)
class ErrorPart:
    """The end of a request that failed before its answer was complete."""

    error: CallerError


Part = TokenPart | EndPart | ErrorPart


class ChatSession:
    """Runs one chat request and queues the parts of its answer for the caller.

    `run(deliver)` executes the request, calls `deliver(token)` for each token and
    returns an `EndPart`; it runs in its own greenlet. `on_disconnect()` is called when
    the caller no longer reads the answer.
    """

    def __init__(self, request: ChatRequest, run, on_disconnect):
        self._request = request
        self._parts = Queue()
        self._on_disconnect = on_disconnect
        self._greenlet = gevent.spawn(self._run, run)

    @property
    def request(self) -> ChatRequest:
        return self._request

    def handle_disconnect(self):
        self._on_disconnect()

    def parts(self):
        """Yield the parts of the answer; the last is an `EndPart` or `ErrorPart`."""
        while True:
            part = self._parts.get()
            yield part
            if not isinstance(part, TokenPart):
                return

    @staticmethod
    def is_error(part: Part) -> bool:
        return isinstance(part, ErrorPart)

    @staticmethod
    def replay(first: Part, rest):
        """Yield `first`, then the parts that follow it."""
        yield first
        if isinstance(first, TokenPart):
            yield from rest

    def _run(self, run):
        try:
            end = run(lambda token: self._parts.put(TokenPart(token.text)))
        except Exception as error:
            caller_error = to_caller_error(error)
            self._parts.put(ErrorPart(caller_error))
            if caller_error.code == "internal_error":
                log_event(Event.INTERNAL_ERROR, error=repr(error))
        else:
            self._parts.put(end)


def _format_event(payload, name=""):
    prefix = f"event: {name}\n" if name else ""
    return f"{prefix}data: {json.dumps(payload)}\n\n".encode()


def _completion_chunk(request, created, delta, finish_reason=None):
    return {
        "id": request.request_id,
        "object": "chat.completion.chunk",
        "created": created,
        "model": request.model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    }


def server_sent_events(request: ChatRequest, parts):
    """Format the parts of an answer as server-sent events."""
    created = int(time.time())
    for part in parts:
        match part:
            case TokenPart(text):
                yield _format_event(
                    _completion_chunk(request, created, {"content": text})
                )
            case EndPart():
                last = _completion_chunk(request, created, {}, part.finish_reason)
                last["usage"] = _usage(request, part)
                last["bulrushdrum"] = _routing_details(part)
                yield _format_event(last)
                yield b"data: [DONE]\n\n"
            case ErrorPart(error):
                yield _format_event({"error": error.body(request.request_id)}, "error")


def completion_body(request: ChatRequest, parts) -> dict:
    """Return the response body for a non-streaming request; raises `CallerError`."""
    texts = []
    for part in parts:
        match part:
            case TokenPart(text):
                texts.append(text)
            case ErrorPart(error):
                raise error
            case EndPart():
                end = part
    message = {"role": "assistant", "content": "".join(texts)}
    choice = {"index": 0, "message": message, "finish_reason": end.finish_reason}
    return {
        "id": request.request_id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": request.model,
        "choices": [choice],
        "usage": _usage(request, end),
        "bulrushdrum": _routing_details(end),
    }


def _usage(request, end):
    return {
        "prompt_tokens": len(request.prompt),
        "completion_tokens": end.answer_tokens,
        "total_tokens": len(request.prompt) + end.answer_tokens,
    }


def _routing_details(end):
    return {"chain": list(end.chain), "attempts": end.attempts}
