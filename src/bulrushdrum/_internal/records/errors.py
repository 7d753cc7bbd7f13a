"""Errors of the records layer."""


class RecordsError(Exception):
    """Base class of every error raised by this package."""


class RecordUnreadable(RecordsError):
    """A record in the object store or from a peer cannot be read."""


class RecordBufferFull(RecordsError):
    """The buffer of records is full; the request must be refused before it runs."""
