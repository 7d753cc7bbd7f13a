"""Errors of the records layer."""


class RecordsError(Exception):
    """Base class of every error raised by this package."""


class RecordUnreadable(RecordsError):
    """A record from the object store or from a peer cannot be decoded."""


class RecordBufferFull(RecordsError):
    """The record buffer is full; the request must be refused before it runs."""
