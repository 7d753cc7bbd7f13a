"""Transport of `routing.at_most_once` for non-idempotent model requests.

The key is bound to the sidecar of stage 0, which admits it once. The answer is stored
in the claim row, so that a caller that repeats the request gets the same answer.
"""

import json
from collections.abc import Callable
from typing import NamedTuple

from expression import Result

from bulrushdrum._internal.peering.request_messages import CallResult, Resolved
from bulrushdrum._internal.routing.chains import ChainPlanner, ChainRequest
from bulrushdrum._internal.routing.claims import Binding, BindingProposal
from bulrushdrum._internal.routing.errors import (
    CallTimeout,
    RequestNotRun,
    RequestOutcomeUnknown,
)
from bulrushdrum._internal.routing.model_runner import ModelRunner
from bulrushdrum._internal.routing.pending_calls import PendingCalls
from bulrushdrum._internal.routing.running_requests import BoundStage, DeliveredToken
from bulrushdrum._internal.routing.service_calls import resolve_binding
from bulrushdrum._internal.world.contracts import Contract
from bulrushdrum._internal.world.requests import ChatRequest


class ChatAnswer(NamedTuple):
    """A complete answer, with its chain and its number of attempts."""

    text: str
    finish_reason: str
    answer_tokens: int
    chain: tuple[str, ...]
    attempts: int


def decode_answer(result: CallResult) -> ChatAnswer:
    """Decode the answer from the result of a run or of a claim row."""
    answer = ChatAnswer(**json.loads(result.body))
    return answer._replace(chain=tuple(answer.chain))


class BoundChatTransport:
    """Runs one non-idempotent chat request on a chain that starts at its bound sidecar.

    See `routing.at_most_once.BoundTransport`.
    """

    def __init__(
        self,
        pending: PendingCalls,
        runner: ModelRunner,
        request: ChatRequest,
        contract: Contract,
    ):
        self._pending = pending
        self._runner = runner
        self._request = request
        self._contract = contract
        self._deliver: Callable[[DeliveredToken], None] = lambda token: None
        self._delivered = False

    @property
    def delivered(self) -> bool:
        """Whether any token has been delivered to the caller."""
        return self._delivered

    def deliver_to(self, deliver: Callable[[DeliveredToken], None]):
        """Call `deliver` with each further token of the answer."""
        self._deliver = deliver

    def send(self, binding: Binding, timeout: float) -> CallResult:
        started = []
        bound = BoundStage(
            binding.incarnation, binding.key, binding.window, binding.generation
        )
        try:
            reason = self._runner.run(
                self._request,
                self._contract,
                self._deliver_token,
                bound,
                started.append,
            )
        except RequestNotRun as error:
            # The sidecar has not necessarily cancelled the key. A timeout makes the
            # executor resolve it.
            raise CallTimeout(str(error)) from error
        except RequestOutcomeUnknown as error:
            return CallResult(outcome="unknown", reason=error.code)
        running = started[0]
        answer = ChatAnswer(
            "".join(token.text for token in running.tokens),
            reason,
            len(running.tokens),
            running.attempt_summaries[-1].chain,
            len(running.attempt_summaries),
        )
        body = json.dumps(answer._asdict()).encode()
        return CallResult(outcome="answered", status=200, body=body)

    def resolve(self, binding: Binding, timeout: float) -> Resolved:
        return resolve_binding(self._pending, binding, timeout)

    def _deliver_token(self, token):
        self._delivered = True
        self._deliver(token)


def propose_stage(
    planner: ChainPlanner, request: ChatRequest, data_centre: str, excluded: frozenset
) -> BindingProposal | None:
    """Propose the first stage of a chain as the binding of the request's key."""
    chain_request = ChainRequest(
        request.model, request.prompt, request.max_tokens, data_centre, excluded
    )
    match planner.choose(chain_request):
        case Result(tag="ok", ok=[first, *_]):
            pass
        case _:
            return None
    if first.incarnation in excluded:
        return None
    return BindingProposal(first.id, first.incarnation, first.window)
