"""HTTP client of callers: sends requests and records responses and their timing."""

import json
import time
from dataclasses import dataclass, field

import urllib3

from bulrushdrum._internal.routing.tokenizer import encode_prompt

_HEADER_TIMEOUT_SECONDS = 30.0


@dataclass
class Answer:
    """The response that a caller received for one chat request.

    `outcome` is answered, not_run or unknown as the entry reported it, or broken if the
    connection ended without a report. `texts` has one item per token, and `times` the
    seconds from sending the request to the arrival of each token.
    """

    prompt: str
    seed: int
    max_tokens: int
    customer: str = ""
    outcome: str = "broken"
    status: int = 0
    request_id: str = ""
    texts: list[str] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    finish_reason: str = ""
    chain: tuple[str, ...] = ()
    attempts: int = 0
    error: dict = field(default_factory=dict)
    seconds: float = 0.0

    @property
    def prompt_tokens(self) -> int:
        return len(tokenize_prompt(self.prompt))

    @property
    def text(self) -> str:
        return "".join(self.texts)


@dataclass
class ServiceAnswer:
    """The response that a caller received for one call of a plain service."""

    outcome: str = "broken"
    status: int = 0
    body: bytes = b""
    request_id: str = ""
    error: dict = field(default_factory=dict)
    seconds: float = 0.0


def chat_messages(prompt: str) -> list[dict]:
    return [{"role": "user", "content": prompt}]


def tokenize_prompt(prompt: str) -> tuple[int, ...]:
    """Return the tokens of a prompt, encoded as the entry does."""
    return encode_prompt(chat_messages(prompt))


def _parse_outcome(error):
    return "not_run" if error.get("ran") == "no" else "unknown"


def _parse_error(data):
    try:
        error = json.loads(data)["error"]
        return error if isinstance(error, dict) else {}
    except (ValueError, KeyError, TypeError):
        return {}


def _parse_events(response):
    """Yield (event name, data) for each server-sent event of a response."""
    buffer = b""
    for piece in response.stream(65536):
        buffer += piece
        while b"\n\n" in buffer:
            block, buffer = buffer.split(b"\n\n", 1)
            name, data = "message", []
            for line in block.decode().splitlines():
                kind, _, value = line.partition(":")
                if kind == "event":
                    name = value.strip()
                elif kind == "data":
                    data.append(value.removeprefix(" "))
            yield name, "\n".join(data)


class Caller:
    """A caller with one API key, which sends each request to a given entry address."""

    def __init__(self, api_key: str, model: str, timeout_seconds: float = 60.0):
        self._api_key = api_key
        self._model = model
        self._timeout = urllib3.Timeout(
            connect=5.0, read=max(timeout_seconds, _HEADER_TIMEOUT_SECONDS)
        )
        self._pools = urllib3.PoolManager(retries=False, maxsize=64)

    def _headers(self, key, extra=None):
        headers = {"Authorization": f"Bearer {self._api_key}", **(extra or {})}
        if key:
            headers["Idempotency-Key"] = key
        return headers

    def chat(
        self,
        entry: str,
        prompt: str,
        seed: int = 1,
        max_tokens: int = 16,
        kind: str = "",
        key: str = "",
        on_token=lambda answer: None,
    ) -> Answer:
        """Stream one chat completion; failures are reported in the answer, not raised.

        `on_token(answer)` is called after each token.
        """
        answer = Answer(prompt, seed, max_tokens)
        body = {
            "model": self._model,
            "messages": chat_messages(prompt),
            "max_tokens": max_tokens,
            "seed": seed,
            "stream": True,
        }
        if kind:
            body["metadata"] = {"kind": kind}
        start = time.monotonic()
        try:
            with self._pools.request(
                "POST",
                f"http://{entry}/v1/chat/completions",
                body=json.dumps(body),
                headers=self._headers(key, {"Content-Type": "application/json"}),
                preload_content=False,
                timeout=self._timeout,
            ) as response:
                self._read_answer(response, answer, start, on_token)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            answer.error = {"message": str(error)}
        answer.seconds = time.monotonic() - start
        return answer

    def _read_answer(self, response, answer, start, on_token):
        answer.status = response.status
        answer.request_id = response.headers.get("X-Request-Id", "")
        if response.status != 200:
            answer.error = _parse_error(response.read())
            answer.request_id = answer.error.get("request_id") or answer.request_id
            answer.outcome = _parse_outcome(answer.error)
            return
        for name, data in _parse_events(response):
            if name == "error":
                answer.error = _parse_error(data)
                answer.outcome = _parse_outcome(answer.error)
                return
            if data == "[DONE]":
                answer.outcome = "answered"
                return
            chunk = json.loads(data)
            answer.request_id = chunk["id"]
            choice = chunk["choices"][0]
            if "content" in choice["delta"]:
                answer.texts.append(choice["delta"]["content"])
                answer.times.append(time.monotonic() - start)
                on_token(answer)
            if choice["finish_reason"]:
                answer.finish_reason = choice["finish_reason"]
                extras = chunk.get("bulrushdrum", {})
                answer.chain = tuple(extras.get("chain", ()))
                answer.attempts = extras.get("attempts", 0)

    def call(
        self,
        entry: str,
        service: str,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        key: str = "",
    ) -> ServiceAnswer:
        """Call a plain service through an entry; failures are reported, not raised."""
        answer = ServiceAnswer()
        start = time.monotonic()
        try:
            response = self._pools.request(
                method,
                f"http://{entry}/services/{service}{path}",
                body=body or None,
                headers=self._headers(key),
                timeout=self._timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            answer.error = {"message": str(error)}
        else:
            answer.status = response.status
            answer.body = response.data
            answer.request_id = response.headers.get("X-Request-Id", "")
            answer.error = _parse_error(response.data)
            answer.outcome = (
                _parse_outcome(answer.error) if "ran" in answer.error else "answered"
            )
        answer.seconds = time.monotonic() - start
        return answer

    def issue_key(self, entry: str, **fields) -> dict:
        """Return a new idempotency key; raises `RuntimeError` if the entry refuses."""
        response = self._pools.request(
            "POST",
            f"http://{entry}/v1/idempotency-keys",
            body=json.dumps(fields),
            headers=self._headers("", {"Content-Type": "application/json"}),
            timeout=self._timeout,
        )
        if response.status not in (200, 201):
            raise RuntimeError(
                f"no idempotency key: {response.status} {response.data!r}"
            )
        return response.json()
