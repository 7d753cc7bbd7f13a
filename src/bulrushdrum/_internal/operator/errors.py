"""Errors of the operator client and their exit codes."""

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_OUTCOME_UNKNOWN = 4


class CommandFailed(Exception):
    """A failed command; `body` is the error object returned by the entry."""

    def __init__(self, code: str, message: str, **details):
        super().__init__(message)
        self.body = {"code": code, "message": message, **details}

    @property
    def exit_code(self) -> int:
        match self.body["code"]:
            case "usage":
                return EXIT_USAGE
            case "conflict":
                return EXIT_CONFLICT
            case "outcome_unknown":
                return EXIT_OUTCOME_UNKNOWN
        return EXIT_FAILED
