"""Model of attempts: one request over a chain of two stages.

Stage 0 is sidecar 0 in every attempt. Stage 1 is sidecar 1 in odd and sidecar 2 in even
attempts, so that an old holder can wake up, or be used again. The entry may start a new
attempt at any time, which stands for every cause. A token's value is the attempt that
made it, and it carries the tokens it was computed from: engines are not assumed to
repeat themselves.
"""

from typing import NamedTuple

PROMPT = (0,)


class Stage(NamedTuple):
    """A sidecar: the attempt it holds, its KV cache and the calls in its engine."""

    attempt: int = 0
    cache: tuple = ()
    expected: int = 0  # position of the next step
    in_engine: frozenset = frozenset()  # (attempt, tokens, cache before)


class State(NamedTuple):
    attempt: int = 1
    prompt_sent: bool = False
    delivered: tuple = ()
    spoiled: bool = False  # a token was delivered that does not follow the others
    stages: tuple[Stage, ...] = (Stage(), Stage(), Stage())
    steps: frozenset = frozenset()  # (sidecar, attempt, position, tokens)
    tokens: frozenset = frozenset()  # (attempt, position, value, computed from)
    ran: frozenset = frozenset()  # (attempt, stage, position)
    ran_twice: bool = False
    out_of_order: bool = False


def put(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


def chain(attempt):
    return (0, 1 if attempt % 2 else 2)


class AttemptsModel:
    """Rules R1-R5 of design section 3.1; each of `broken` names one left out."""

    BROKEN = (
        "accepts old attempts",
        "accepts any position",
        "takes results for the current attempt",
        "entry takes tokens of old attempts",
        "entry takes any position",
        "retries a non-idempotent request",
    )

    def __init__(self, attempts, length, non_idempotent=False, broken=""):
        assert broken in ("", *self.BROKEN)
        self._attempts = attempts
        self._length = length
        self._non_idempotent = non_idempotent
        self._broken = broken

    def steps(self, state):
        yield from self._entry_steps(state)
        # The entry's connection to a sidecar keeps the order, so an `open` is late or
        # lost but never comes after that of a later attempt.
        for index, stage in enumerate(state.stages):
            for attempt in range(stage.attempt + 1, state.attempt + 1):
                if index in chain(attempt):
                    opened = stage._replace(attempt=attempt, cache=(), expected=0)
                    yield f"{index} opens {attempt}", self._with(state, index, opened)
        for step in state.steps:
            yield from self._pass_to_engine(state, *step)
        for index, stage in enumerate(state.stages):
            for call in stage.in_engine:
                yield from self._engine_returns(state, index, stage, call)

    def _entry_steps(self, state):
        may_retry = not self._non_idempotent or not state.prompt_sent
        if self._broken == "retries a non-idempotent request":
            may_retry = True
        unfinished = len(state.delivered) < self._length
        if unfinished and state.attempt < self._attempts and may_retry:
            again = state._replace(attempt=state.attempt + 1, prompt_sent=False)
            yield f"entry starts attempt {again.attempt}", again
        if unfinished and not state.prompt_sent:
            step = (0, state.attempt, 0, PROMPT + state.delivered)
            yield (
                "entry sends prompt",
                state._replace(prompt_sent=True, steps=state.steps | {step}),
            )
        for attempt, position, value, source in state.tokens:
            current = attempt == state.attempt
            if self._broken == "entry takes tokens of old attempts":
                current = True
            following = position == len(PROMPT + state.delivered)
            if self._broken == "entry takes any position":
                following = True
            if unfinished and current and following:
                sound = source == PROMPT + state.delivered
                yield (
                    f"entry delivers {position} of attempt {attempt}",
                    state._replace(
                        delivered=state.delivered + (value,),
                        spoiled=state.spoiled or not sound,
                    ),
                )

    def _pass_to_engine(self, state, index, attempt, position, tokens):
        stage = state.stages[index]
        if attempt != stage.attempt and not (
            self._broken == "accepts old attempts" and attempt < stage.attempt
        ):
            return
        if position != stage.expected and self._broken != "accepts any position":
            return
        number = 0 if index == 0 else 1
        runs = {(attempt, number, position + at) for at in range(len(tokens))}
        early = number == 1 and not all((a, 0, p) in state.ran for a, _, p in runs)
        gap = position > 0 and (attempt, number, position - 1) not in state.ran
        call = (attempt, tokens, stage.cache)
        passed = stage._replace(
            expected=position + len(tokens), in_engine=stage.in_engine | {call}
        )
        yield (
            f"{index} runs {position} of attempt {attempt}",
            self._with(state, index, passed)._replace(
                ran=state.ran | runs,
                ran_twice=state.ran_twice or bool(runs & state.ran),
                out_of_order=state.out_of_order or early or gap,
            ),
        )

    def _engine_returns(self, state, index, stage, call):
        attempt, tokens, before = call
        left = stage._replace(in_engine=stage.in_engine - {call})
        if attempt != stage.attempt:
            if self._broken != "takes results for the current attempt":
                yield f"{index} drops a result", self._with(state, index, left)
                return
            attempt = stage.attempt
        cache = before + tokens
        kept = self._with(state, index, left._replace(cache=cache))
        if index == 0:
            # The second stage learns the tokens from the activation it is sent.
            step = (chain(attempt)[1], attempt, len(before), tokens)
            yield "0 passes on", kept._replace(steps=kept.steps | {step})
            return
        token = (attempt, len(cache), attempt, cache)
        step = (0, attempt, len(cache), (attempt,))
        sent = kept._replace(tokens=kept.tokens | {token})
        if len(cache) - len(PROMPT) + 1 < self._length:
            sent = sent._replace(steps=sent.steps | {step})
        yield f"{index} returns a token of attempt {attempt}", sent

    @staticmethod
    def _with(state, index, stage):
        return state._replace(stages=put(state.stages, index, stage))


INVARIANTS = {
    "each layer at most once": lambda state: not state.ran_twice,
    "layers in order": lambda state: not state.out_of_order,
    "each token follows the delivered ones": lambda state: not state.spoiled,
    "one attempt ran": lambda state: len({attempt for attempt, *_ in state.ran}) <= 1,
}
