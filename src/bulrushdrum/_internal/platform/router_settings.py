"""Decodes the settings file that the platform places on each machine."""

import json
from pathlib import Path

from bulrushdrum._internal.decoding import DECODING_ERRORS
from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.router import CallerResources, RouterSettings

SETTINGS_PATH_VARIABLE = "BULRUSHDRUM_SETTINGS"
# A call to the store usually takes a few milliseconds, at times up to 0.5 s.
_STORE_TIMEOUT_SECONDS = 0.8
# The maximum time for a new connection to the store and the first read on it.
_RECONNECT_SECONDS = 0.4
# Part of the time in which a change must be in force that may pass before it is read.
# The rest is for an unresponsive connection to the store.
_SPACING_FRACTION = 0.25
_BYTES_PER_MB = 1_000_000


def read_router_settings(path: str) -> RouterSettings:
    """Read the settings from the file at `path`; raises `SettingsError`."""
    try:
        raw = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(path, [f"cannot be read: {error}"]) from error
    try:
        return _decode(raw)
    except DECODING_ERRORS as error:
        raise SettingsError(path, [f"missing or malformed field: {error!r}"]) from error


def _decode(raw):
    listen, bounds = raw["listen"], raw.get("bounds", {})
    # An unresponsive connection must be replaced, and the table read, within the time
    # after which the platform considers a machine to be in contact again.
    contact = float(bounds.get("contact-ms", 3000)) / 1000.0
    apply = min(
        float(bounds.get(name, 2000)) / 1000.0
        for name in ("drain-ms", "config-apply-ms", "revoke-ms")
    )
    return RouterSettings(
        node=raw["node-name"],
        data_centre=raw["zone"],
        ip=raw["ip"],
        caller_address=listen["front"],
        ready_address=listen["ready-addr"],
        peer_port=int(raw["internal-ports"][0]),
        metrics_port=int(raw["internal-ports"][-1]),
        store_address=raw["platform"]["address"],
        retry_ratio=float(bounds.get("retry-budget-ratio", 0.1)),
        retry_extra=int(bounds.get("retry-budget-extra", 0)),
        retry_window_seconds=float(bounds.get("budget-window-s", 10)),
        stop_grace_seconds=float(bounds.get("grace-s", 8)),
        store_timeout=_STORE_TIMEOUT_SECONDS,
        feed_wait=max(contact - _STORE_TIMEOUT_SECONDS - _RECONNECT_SECONDS, 0.5),
        feed_spacing=apply * _SPACING_FRACTION,
        caller_resources=_decode_resources(raw.get("limits", {})),
    )


def _decode_resources(raw):
    defaults = CallerResources()
    megabytes = float(raw.get("memory-mb", defaults.memory_bytes / _BYTES_PER_MB))
    return CallerResources(
        memory_bytes=int(megabytes * _BYTES_PER_MB),
        descriptors=int(raw.get("max-fds", defaults.descriptors)),
    )
