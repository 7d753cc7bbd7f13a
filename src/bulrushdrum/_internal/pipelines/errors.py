"""Errors raised by path selection."""


class PipelineError(Exception):
    """Base class of every error raised by this package."""


class NoPath(PipelineError):
    """No sequence of available upstreams runs all layers."""


class InsufficientMemory(PipelineError):
    """All layers are available, but no path has enough free memory at the moment."""
