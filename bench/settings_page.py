"""Generates docs/settings.md on standard output: `python -m bench.settings_page`."""

import dataclasses

from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.settings.router import (
    MIN_RESPONSE_LIMIT_BYTES,
    CallerResources,
    PathPolicyName,
    ResponseLimits,
)
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


def _router_options():
    policies = ", ".join(PathPolicyName)
    yield f"| `--path-policy` | {PathPolicyName.LEAST_TIME} | | {policies} |"
    for limit in dataclasses.fields(ResponseLimits):
        option = f"--max-{limit.name.replace('_', '-')}"
        bounds = f"{MIN_RESPONSE_LIMIT_BYTES} or more"
        yield f"| `{option}` | {limit.default} | bytes | {bounds} |"


def _router_resources():
    defaults = CallerResources()
    megabytes = defaults.memory_bytes // 1_000_000
    yield f"| `limits.memory-mb` | {megabytes} | MB | above 0 |"
    yield f"| `limits.max-fds` | {defaults.descriptors} | descriptors | above 0 |"


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
    lines += [
        "",
        "## `bulrushdrum router`",
        "",
        "Its addresses come from the platform's settings file (docs/platform.md).",
        "These are options of the command line. A response of an upstream over a limit",
        "closes the connection and counts as a failure of the upstream.",
        "",
        "| option | default | unit | values |",
        "|---|---|---|---|",
        *_router_options(),
        "",
        "These are fields of the platform's settings file. What callers' connections",
        "and unanswered requests may hold together is half of the memory over 60 MB,",
        "and at least 12 MB. Half of the descriptors over 400, and at least 16, are",
        "for callers, and as many for upstreams; the ports for readiness and metrics",
        "take 32 connections each.",
        "",
        "| field | default | unit | values |",
        "|---|---|---|---|",
        *_router_resources(),
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(page(), end="")
