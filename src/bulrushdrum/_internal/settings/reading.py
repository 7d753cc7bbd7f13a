"""Reads settings in JSON with comments and checks them whole.

A role describes its settings as a frozen dataclass. `read_settings` checks every field
of the file against it and reports all faults at once, each with the field, the value
and what would be right. Constraints stand in the field's metadata, see `setting`; a
dataclass may have a method `contradictions` that returns what is wrong between fields.
"""

import dataclasses
import types
from pathlib import Path
from typing import get_args, get_origin, get_type_hints

import json5

from bulrushdrum._internal.settings.errors import SettingsError

_REQUIRED = dataclasses.MISSING


def setting(
    default=_REQUIRED,
    *,
    unit="",
    help="",
    low=None,
    high=None,
    check=None,
    secret=False,
):
    """Declare a field of a settings dataclass.

    `low` and `high` bound numbers, inclusive; `check(value)` raises `ValueError` saying
    what would be right. A `secret` never appears in a state dump or an error.
    """
    metadata = {
        "unit": unit,
        "help": help,
        "low": low,
        "high": high,
        "check": check,
        "secret": secret,
    }
    if isinstance(default, (dict, list)):
        return dataclasses.field(
            default_factory=lambda: type(default)(default), metadata=metadata
        )
    if default is _REQUIRED:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def _describe(hint):
    names = {
        str: "a string",
        int: "an integer",
        float: "a number",
        bool: "true or false",
    }
    if dataclasses.is_dataclass(hint):
        return "an object"
    if get_origin(hint) in (dict, list, tuple):
        kind = "an object" if get_origin(hint) is dict else "a list"
        return (
            f"{kind} of {_describe(get_args(hint)[-1 if kind == 'an object' else 0])}"
        )
    return names.get(hint, str(hint))


def _convert(value, hint, path, problems):
    """Return `value` as `hint` asks, appending to `problems` what is wrong."""
    origin = get_origin(hint)
    if origin is types.UnionType:
        if value is None:
            return None
        hint = next(arg for arg in get_args(hint) if arg is not type(None))
        return _convert(value, hint, path, problems)
    if dataclasses.is_dataclass(hint):
        return _build(value, hint, path, problems)
    if origin is dict and isinstance(value, dict):
        item = get_args(hint)[1]
        return {
            key: _convert(entry, item, f"{path}.{key}", problems)
            for key, entry in value.items()
        }
    if origin in (list, tuple) and isinstance(value, list):
        item = get_args(hint)[0]
        return origin(
            _convert(entry, item, f"{path}[{index}]", problems)
            for index, entry in enumerate(value)
        )
    if hint is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    plain = hint in (str, int, float, bool) and type(value) is hint
    if not plain:
        problems.append(f"{path}: {value!r} is not {_describe(hint)}")
    return value


def _check_field(field, value, path, problems):
    shown = "the value" if field.metadata.get("secret") else repr(value)
    low, high = field.metadata.get("low"), field.metadata.get("high")
    unit = f" {field.metadata['unit']}" if field.metadata.get("unit") else ""
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        if (low is not None and not value >= low) or (
            high is not None and not value <= high
        ):
            problems.append(f"{path}: {shown} is not between {low} and {high}{unit}")
    check = field.metadata.get("check")
    if check is not None and value is not None:
        try:
            check(value)
        except ValueError as error:
            problems.append(f"{path}: {error}")


def _build(raw, kind, path, problems):
    if not isinstance(raw, dict):
        problems.append(f"{path or 'settings'}: {raw!r} is not an object")
        return None
    hints = get_type_hints(kind)
    fields = {field.name: field for field in dataclasses.fields(kind)}
    prefix = f"{path}." if path else ""
    for name in raw:
        if name not in fields:
            known = ", ".join(sorted(fields))
            problems.append(f"{prefix}{name}: unknown field, known are {known}")
    values = {}
    for name, field in fields.items():
        where = f"{prefix}{name}"
        if name in raw:
            before = len(problems)
            values[name] = _convert(raw[name], hints[name], where, problems)
            if len(problems) == before:
                _check_field(field, values[name], where, problems)
        elif field.default is _REQUIRED and field.default_factory is _REQUIRED:
            what = field.metadata.get("help") or _describe(hints[name])
            problems.append(f"{where}: missing; it must be set ({what})")
    if problems:
        return None
    settings = kind(**values)
    if hasattr(settings, "contradictions"):
        problems += [f"{prefix}{text}" for text in settings.contradictions()]
    return settings


def parse_settings(text: str, kind: type, source: str = "settings"):
    """Return the settings in `text` as an instance of the dataclass `kind`."""
    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError(source, [f"not JSON with comments: {error}"]) from error
    problems = []
    settings = _build(raw, kind, "", problems)
    if problems:
        raise SettingsError(source, problems)
    return settings


def read_settings(path: str, kind: type):
    """Return the settings in the file at `path`; raises `SettingsError`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, [f"cannot be read: {error}"]) from error
    return parse_settings(text, kind, path)
