"""Reads and validates settings in JSON with comments.

Each role declares its settings as a frozen dataclass. `read_settings` validates every
field of a file and reports all errors at once, each with the field, its value and what
is expected. Constraints are declared with `setting` and stored in the field's metadata.
A dataclass may define a method `field_conflicts` that returns the conflicts between
fields.
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

    `low` and `high` are inclusive bounds of numbers. `check(value)` raises `ValueError`
    with a description of valid values. The value of a `secret` field never appears in a
    state dump or an error message.
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


def _convert_value(value, hint, path, problems):
    """Convert `value` to the type `hint`; errors are appended to `problems`."""
    origin = get_origin(hint)
    if origin is types.UnionType:
        if value is None:
            return None
        hint = next(arg for arg in get_args(hint) if arg is not type(None))
        return _convert_value(value, hint, path, problems)
    if dataclasses.is_dataclass(hint):
        return _build_settings(value, hint, path, problems)
    if origin is dict and isinstance(value, dict):
        item_type = get_args(hint)[1]
        return {
            key: _convert_value(item, item_type, f"{path}.{key}", problems)
            for key, item in value.items()
        }
    if origin in (list, tuple) and isinstance(value, list):
        item_type = get_args(hint)[0]
        return origin(
            _convert_value(item, item_type, f"{path}[{index}]", problems)
            for index, item in enumerate(value)
        )
    if hint is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    is_valid_scalar = hint in (str, int, float, bool) and type(value) is hint
    if not is_valid_scalar:
        problems.append(f"{path}: {value!r} is not {_describe(hint)}")
    return value


def _check_constraints(field, value, path, problems):
    displayed_value = "the value" if field.metadata.get("secret") else repr(value)
    low, high = field.metadata.get("low"), field.metadata.get("high")
    unit = f" {field.metadata['unit']}" if field.metadata.get("unit") else ""
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        if (low is not None and not value >= low) or (
            high is not None and not value <= high
        ):
            problems.append(
                f"{path}: {displayed_value} is not between {low} and {high}{unit}"
            )
    check = field.metadata.get("check")
    if check is not None and value is not None:
        try:
            check(value)
        except ValueError as error:
            problems.append(f"{path}: {error}")


def _build_settings(raw, settings_class, path, problems):
    if not isinstance(raw, dict):
        problems.append(f"{path or 'settings'}: {raw!r} is not an object")
        return None
    hints = get_type_hints(settings_class)
    fields = {field.name: field for field in dataclasses.fields(settings_class)}
    prefix = f"{path}." if path else ""
    for name in raw:
        if name not in fields:
            known = ", ".join(sorted(fields))
            problems.append(f"{prefix}{name}: unknown field, known are {known}")
    values = {}
    for name, field in fields.items():
        field_path = f"{prefix}{name}"
        if name in raw:
            problem_count = len(problems)
            values[name] = _convert_value(raw[name], hints[name], field_path, problems)
            if len(problems) == problem_count:
                _check_constraints(field, values[name], field_path, problems)
            elif field.metadata.get("secret"):
                # The messages quote values, and parts of the value of a list or table.
                description = _describe(hints[name])
                problems[problem_count:] = [
                    f"{field_path}: the value is not {description}"
                ]
        elif field.default is _REQUIRED and field.default_factory is _REQUIRED:
            description = field.metadata.get("help") or _describe(hints[name])
            problems.append(f"{field_path}: missing; it must be set ({description})")
    if problems:
        return None
    settings = settings_class(**values)
    if hasattr(settings, "field_conflicts"):
        problems += [f"{prefix}{text}" for text in settings.field_conflicts()]
    return settings


def parse_settings(text: str, settings_class: type, source: str = "settings"):
    """Parse `text` into the dataclass `settings_class`; raises `SettingsError`.

    `source` identifies the text in error messages.
    """
    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as error:
        raise SettingsError(source, [f"not JSON with comments: {error}"]) from error
    problems = []
    settings = _build_settings(raw, settings_class, "", problems)
    if problems:
        raise SettingsError(source, problems)
    return settings


def read_settings(path: str, settings_class: type):
    """Parse the file at `path` into `settings_class`; raises `SettingsError`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, [f"cannot be read: {error}"]) from error
    return parse_settings(text, settings_class, path)
