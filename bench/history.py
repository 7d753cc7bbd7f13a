"""Collects journals and logs of a system and checks them against received answers."""

import json

from bench.client import tokenize_prompt
from bench.journal import (
    DEFAULT_BUDGET,
    Attempt,
    Delivery,
    check_history,
    parse_journal,
)
from bench.standins.engine import expected_answer

ATTEMPT_FAILED = 3001


class History:
    """The journals and logs that the processes of a cluster have written so far."""

    def __init__(self, cluster):
        self._cluster = cluster

    def expected_texts(self, prompt: str, seed: int, max_tokens: int) -> tuple:
        """Return the texts of the tokens of the answer without faults."""
        topology = self._cluster.topology
        answer = expected_answer(
            tokenize_prompt(prompt),
            topology.model,
            topology.layers,
            seed,
            max_tokens,
            topology.model_version,
        )
        return tuple(token.text for token in answer)

    def journal_lines(self, upstream: str) -> list[dict]:
        """Return the journal of an engine or plain service, also after it crashed."""
        path = self._cluster.directory / f"{upstream}.journal"
        text = path.read_text() if path.exists() else ""
        return [json.loads(line) for line in text.splitlines()]

    def runs(self) -> list:
        """Return the layer runs of all engines."""
        return [
            run
            for spec in self._cluster.topology.engines
            for run in parse_journal(
                spec.name, "\n".join(map(json.dumps, self.journal_lines(spec.name)))
            )
        ]

    def log_events(self, name: str) -> list[dict]:
        """Return the numbered events in the log of a process."""
        events = []
        for line in self._cluster.process(name).log.splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue  # output of the interpreter, such as a traceback
            if isinstance(event, dict) and "event" in event:
                events.append(event)
        return events

    def recorded_attempts(self) -> dict[str, tuple[Attempt, ...]]:
        """Return the attempts of retried requests, with the causes from the logs."""
        failures = {}
        for spec in self._cluster.topology.entries:
            for event in self.log_events(spec.name):
                if event["event"] == ATTEMPT_FAILED:
                    failures.setdefault(event["request"], []).append(event)
        return {
            request: (
                Attempt(1),
                *(Attempt(event["attempt"] + 1, event["cause"]) for event in events),
            )
            for request, events in failures.items()
        }

    def delivery(self, answer, failures, non_idempotent, undisturbed) -> Delivery:
        """Convert a received answer for the journal checker."""
        attempts = failures.get(answer.request_id, (Attempt(1),))
        first = answer.prompt_tokens
        expected = self.expected_texts(answer.prompt, answer.seed, answer.max_tokens)
        return Delivery(
            answer.request_id,
            first,
            tuple((first + index, text) for index, text in enumerate(answer.texts)),
            answer.outcome,
            attempts,
            non_idempotent,
            expected,
            undisturbed,
        )

    def check(
        self, answers, non_idempotent=(), undisturbed=False, budget=DEFAULT_BUDGET
    ):
        """Check the journals of all engines against what the callers received.

        `non_idempotent` holds request ids; `undisturbed` states that no fault was
        injected during any of the answers.
        """
        failures = self.recorded_attempts()
        deliveries = [
            self.delivery(
                answer, failures, answer.request_id in non_idempotent, undisturbed
            )
            for answer in answers
            if answer.request_id
        ]
        return check_history(
            self.runs(), deliveries, self._cluster.topology.layers, budget
        )
