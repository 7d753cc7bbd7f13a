"""Errors of the pipelines' layer."""


class PipelineError(Exception):
    """Base class of every error raised by this package."""


class NoPath(PipelineError):
    """No sequence of usable upstreams runs all layers."""


class InsufficientMemory(PipelineError):
    """The layers are there, but no path has memory for the request now."""
