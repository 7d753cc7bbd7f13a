"""Errors of the settings layer."""


class SettingsError(Exception):
    """The settings cannot be used; `problems` has one sentence for each fault."""

    def __init__(self, source: str, problems: list[str]):
        super().__init__(f"{source}: " + "; ".join(problems))
        self.problems = problems
