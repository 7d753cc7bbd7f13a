"""Errors of the settings package."""


class SettingsError(Exception):
    """The settings are invalid; `problems` describes each error in one sentence."""

    def __init__(self, source: str, problems: list[str]):
        super().__init__(f"{source}: " + "; ".join(problems))
        self.problems = problems
