"""Model of attempts: one request over a chain of two stages.

Stage 0 runs on sidecar 0 in every attempt. Stage 1 runs on sidecar 1 in odd and on
sidecar 2 in even attempts, so that the sidecar of an old attempt can resume or be
reused. The entry may start a new attempt at any time, which covers every cause of a
failure. A token's value is the attempt that computed it, and it carries the tokens it
was computed from: engines are not assumed to be deterministic.
"""

from typing import NamedTuple

PROMPT = (0,)


class Stage(NamedTuple):
    """A sidecar: its open attempt, its KV cache and the calls in its engine."""

    attempt: int = 0
    cache: tuple = ()
    expected: int = 0  # position of the next step
    in_engine: frozenset = frozenset()  # (attempt, tokens, cache before)


class State(NamedTuple):
    attempt: int = 1
    prompt_sent: bool = False
    delivered: tuple = ()
    inconsistent: bool = False  # a delivered token does not extend the prefix
    stages: tuple[Stage, ...] = (Stage(), Stage(), Stage())
    steps: frozenset = frozenset()  # (sidecar, attempt, position, tokens)
    tokens: frozenset = frozenset()  # (attempt, position, value, computed from)
    ran: frozenset = frozenset()  # (attempt, stage, position)
    ran_twice: bool = False
    out_of_order: bool = False


def replace_item(items, index, value):
    return items[:index] + (value,) + items[index + 1 :]


def chain(attempt):
    return (0, 1 if attempt % 2 else 2)


class AttemptsModel:
    """Rules R1-R5 of design section 3.1; `mutation` leaves one out."""

    MUTATIONS = (
        "accepts old attempts",
        "accepts any position",
        "assigns results to the current attempt",
        "entry accepts tokens of old attempts",
        "entry accepts any position",
        "retries a non-idempotent request",
    )

    def __init__(self, attempts, length, non_idempotent=False, mutation=""):
        assert mutation in ("", *self.MUTATIONS)
        self._attempts = attempts
        self._length = length
        self._non_idempotent = non_idempotent
        self._mutation = mutation

    def steps(self, state):
        yield from self._entry_steps(state)
        # A connection preserves the order of messages, so an `open` may be late or lost
        # but never arrives after the `open` of a later attempt.
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
        if self._mutation == "retries a non-idempotent request":
            may_retry = True
        unfinished = len(state.delivered) < self._length
        if unfinished and state.attempt < self._attempts and may_retry:
            retry = state._replace(attempt=state.attempt + 1, prompt_sent=False)
            yield f"entry starts attempt {retry.attempt}", retry
        if unfinished and not state.prompt_sent:
            step = (0, state.attempt, 0, PROMPT + state.delivered)
            yield (
                "entry sends prompt",
                state._replace(prompt_sent=True, steps=state.steps | {step}),
            )
        for attempt, position, value, source in state.tokens:
            current = attempt == state.attempt
            if self._mutation == "entry accepts tokens of old attempts":
                current = True
            following = position == len(PROMPT + state.delivered)
            if self._mutation == "entry accepts any position":
                following = True
            if unfinished and current and following:
                consistent = source == PROMPT + state.delivered
                yield (
                    f"entry delivers {position} of attempt {attempt}",
                    state._replace(
                        delivered=state.delivered + (value,),
                        inconsistent=state.inconsistent or not consistent,
                    ),
                )

    def _pass_to_engine(self, state, index, attempt, position, tokens):
        stage = state.stages[index]
        if attempt != stage.attempt and not (
            self._mutation == "accepts old attempts" and attempt < stage.attempt
        ):
            return
        if position != stage.expected and self._mutation != "accepts any position":
            return
        number = 0 if index == 0 else 1
        runs = {(attempt, number, position + offset) for offset in range(len(tokens))}
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
        finished = stage._replace(in_engine=stage.in_engine - {call})
        if attempt != stage.attempt:
            if self._mutation != "assigns results to the current attempt":
                yield f"{index} drops a result", self._with(state, index, finished)
                return
            attempt = stage.attempt
        cache = before + tokens
        kept = self._with(state, index, finished._replace(cache=cache))
        if index == 0:
            # The activation that stage 0 sends includes the tokens.
            step = (chain(attempt)[1], attempt, len(before), tokens)
            yield "0 sends an activation", kept._replace(steps=kept.steps | {step})
            return
        token = (attempt, len(cache), attempt, cache)
        step = (0, attempt, len(cache), (attempt,))
        sent = kept._replace(tokens=kept.tokens | {token})
        if len(cache) - len(PROMPT) + 1 < self._length:
            sent = sent._replace(steps=sent.steps | {step})
        yield f"{index} returns a token of attempt {attempt}", sent

    @staticmethod
    def _with(state, index, stage):
        return state._replace(stages=replace_item(state.stages, index, stage))


INVARIANTS = {
    "each layer at most once": lambda state: not state.ran_twice,
    "layers in order": lambda state: not state.out_of_order,
    "each token extends the delivered prefix": lambda state: not state.inconsistent,
    "one attempt ran": lambda state: len({attempt for attempt, *_ in state.ran}) <= 1,
}
