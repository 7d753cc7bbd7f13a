"""Errors of the configuration layer."""

from typing import Any


class ConfigurationError(Exception):
    """Base class of every error raised by this package."""


class EditConflict(ConfigurationError):
    """Another edit was committed first.

    `value` and `revision` are those now in the table.
    """

    def __init__(self, key: str, value: Any, revision: int):
        super().__init__(f"{key!r} is at revision {revision}, edited by someone else")
        self.value = value
        self.revision = revision


class EditRefused(ConfigurationError):
    """The edit was refused and nothing was changed.

    `code` is part of the API: invalid, store_unavailable, store_behind or busy.
    """

    def __init__(self, code: str, message: str):
        super().__init__(message)
        self.code = code


class EditOutcomeUnknown(ConfigurationError):
    """The edit may or may not have been committed.

    Resending the edit with the same `edit_id` resolves the outcome.
    """

    def __init__(self, edit_id: str, message: str):
        super().__init__(message)
        self.edit_id = edit_id


class LogPruned(ConfigurationError):
    """The log entries after a revision have been pruned."""
