"""Errors raised by path selection."""

from bulrushdrum._internal.limits.upstream_limits import ReachedLimits


class PipelineError(Exception):
    """Base class of every error raised by this package."""


class NoPath(PipelineError):
    """No sequence of available upstreams runs all layers."""


class InsufficientMemory(PipelineError):
    """All layers are available, but no path has enough free memory at the moment."""


class LimitsReached(PipelineError):
    """All paths with free memory have an upstream that has reached its limit.

    `others` explains why no path without these upstreams was found. With
    `frees_memory`, there are other paths, which lack memory.
    """

    def __init__(self, reached: ReachedLimits, others: str, frees_memory: bool = False):
        super().__init__("the upstreams have reached the limits that they name")
        self.reached = reached
        self.others = others
        self.frees_memory = frees_memory
