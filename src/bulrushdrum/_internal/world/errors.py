"""Errors of the domain model."""


class WorldError(Exception):
    """Base class of the errors raised by this package."""


class InvalidContract(WorldError):
    """A contract is invalid; `problems` describes each error in one sentence."""

    def __init__(self, problems: list[str]):
        super().__init__("; ".join(problems))
        self.problems = problems


class InvalidUpstreamState(WorldError):
    """The desired state of an upstream is invalid."""
