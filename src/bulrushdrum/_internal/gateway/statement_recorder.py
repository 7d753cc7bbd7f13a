"""Passes what upstreams say of themselves on to those that act on it."""

from bulrushdrum._internal.limits.upstream_limits import UpstreamLimits
from bulrushdrum._internal.pipelines.fleet import Fleet
from bulrushdrum._internal.world.engines import PoolUpstream
from bulrushdrum._internal.world.statements import UpstreamStatements


class StatementRecorder:
    """Records the statements in the heads of responses."""

    def __init__(self, fleet: Fleet, limits: UpstreamLimits):
        self._fleet = fleet
        self._limits = limits

    def record(
        self, upstream: PoolUpstream, statements: UpstreamStatements, has_run: bool
    ):
        """Record what a response of `upstream` says; it `has_run` the request or not.

        The response must be known to be an answer of this upstream.
        """
        self._limits.record_statement(upstream, statements.limit, has_run)
        if statements.is_leaving:
            self._fleet.mark_leaving(upstream.id, upstream.born)
        if statements.pause_seconds is not None:
            self._fleet.pause(upstream.id, upstream.born, statements.pause_seconds)
