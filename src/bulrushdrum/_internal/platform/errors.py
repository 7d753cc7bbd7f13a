"""Exceptions raised by the platform's clients.

A write may be retried after `StoreUnavailable`. After `WriteOutcomeUnknown` the caller
must first determine whether it took effect.
"""


class PlatformError(Exception):
    """Base class of every error raised by this package."""


class StoreUnavailable(PlatformError):
    """The service did not process the request, and nothing was written."""


class WriteOutcomeUnknown(PlatformError):
    """The request was sent, but without a usable response: it may have taken effect."""


class WriteConflict(PlatformError):
    """A condition did not hold, and nothing was written.

    `rows` holds the current row of each condition that failed. An absent row has
    version 0 and the value `None`.
    """

    def __init__(self, rows):
        super().__init__("conflict on " + ", ".join(row.key for row in rows))
        self.rows = rows


class ObjectNotFound(PlatformError):
    """The object store has no object with this name."""


class HistoryLost(PlatformError):
    """The store dropped the requested changes; the full table must be read again."""


class MalformedRow(PlatformError):
    """The value of a row cannot be decoded."""
