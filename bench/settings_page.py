"""Generates docs/settings.md on standard output: `python -m bench.settings_page`."""

import dataclasses

from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.settings.sidecar import SidecarSettings


def _rows(kind, prefix=""):
    for field in dataclasses.fields(kind):
        if dataclasses.is_dataclass(field.default):
            yield from _rows(type(field.default), f"{prefix}{field.name}.")
            continue
        if field.default is not dataclasses.MISSING:
            default = repr(field.default)
        elif field.default_factory is not dataclasses.MISSING:
            default = repr(field.default_factory())
        else:
            default = "must be set"
        low, high = field.metadata.get("low"), field.metadata.get("high")
        bounds = "" if low is None and high is None else f"{low} to {high}"
        unit = field.metadata.get("unit", "")
        text = field.metadata.get("help", "")
        yield f"| `{prefix}{field.name}` | {default} | {unit} | {bounds} | {text} |"


def page() -> str:
    """Return the settings reference as Markdown."""
    lines = [
        "# Settings",
        "",
        "Written by `python -m bench.settings_page`. Files are JSON with comments,",
        "and checked whole; `bulrushdrum check-settings ROLE FILE` shows every fault.",
    ]
    for name, kind in (("entry", EntrySettings), ("sidecar", SidecarSettings)):
        lines += ["", f"## `bulrushdrum {name}`", ""]
        lines += [
            "| field | default | unit | bounds | meaning |",
            "|---|---|---|---|---|",
        ]
        lines += _rows(kind)
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(page(), end="")
