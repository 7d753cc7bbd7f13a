"""Errors of the world layer."""


class WorldError(Exception):
    """Base class of every error raised by this package."""


class InvalidContract(WorldError):
    """A contract cannot be used; `problems` has one sentence for each fault."""

    def __init__(self, problems: list[str]):
        super().__init__("; ".join(problems))
        self.problems = problems


class InvalidUpstreamState(WorldError):
    """The desired state of an upstream cannot be used."""
