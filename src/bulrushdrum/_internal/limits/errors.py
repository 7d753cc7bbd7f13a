"""Errors of the limits layer."""


class LimitsError(Exception):
    """Base class of every error raised by this package."""


class ConcurrencyExceeded(LimitsError):
    """No permit of the customer became free in time; the request did not run."""


class UnknownCustomer(ConcurrencyExceeded):
    """The customer has no contract, so there is no limit to grant permits from."""


class EntrySetInvalid(LimitsError):
    """The entry-set row in the table is malformed."""
