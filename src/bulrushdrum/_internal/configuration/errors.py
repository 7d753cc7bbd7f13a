"""Errors of the configuration layer."""

from typing import Any


class ConfigurationError(Exception):
    """Base class of every error raised by this package."""


class EditConflict(ConfigurationError):
    """Another edit came first; carries the value and revision now in the table."""

    def __init__(self, key: str, value: Any, revision: int):
        super().__init__(f"{key!r} is at revision {revision}, edited by someone else")
        self.value = value
        self.revision = revision


class EditRefused(ConfigurationError):
    """The edit was not made.

    `code` is stable: invalid, store_unavailable, store_behind or busy.
    """

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class EditOutcomeUnknown(ConfigurationError):
    """The store did not say whether the edit took effect.

    Sending the edit again with the same `edit_id` settles it.
    """

    def __init__(self, edit_id: str, message: str):
        super().__init__(message)
        self.edit_id = edit_id


class LogPruned(ConfigurationError):
    """The log no longer holds the entries that follow a revision."""
