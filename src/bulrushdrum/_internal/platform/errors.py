"""Errors of the platform's services.

The difference between `StoreUnavailable` and `WriteOutcomeUnknown` decides whether a
caller may try again or must first find out what happened.
"""


class PlatformError(Exception):
    """Base class of every error raised by this package."""


class StoreUnavailable(PlatformError):
    """The service did not serve the request, and nothing was written."""


class WriteOutcomeUnknown(PlatformError):
    """The request was sent and its answer is missing: it may have been written."""


class WriteConflict(PlatformError):
    """A condition did not hold and nothing was written.

    `rows` are the rows as they are now, for each condition that failed. An absent row
    has version 0 and the value `None`.
    """

    def __init__(self, rows):
        super().__init__("conflict on " + ", ".join(row.key for row in rows))
        self.rows = rows


class ObjectNotFound(PlatformError):
    """The object store has no object of this name."""


class HistoryLost(PlatformError):
    """The changes that follow a version are gone; the table must be read whole."""


class MalformedRow(PlatformError):
    """The value of a row cannot be decoded."""


class MalformedAnswer(PlatformError):
    """An upstream's answer to an order or a query cannot be decoded."""
