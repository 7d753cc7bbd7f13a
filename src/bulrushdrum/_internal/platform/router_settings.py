"""Decodes the settings file that the platform places on each machine."""

import json
from pathlib import Path

from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.router import RouterSettings

SETTINGS_PATH_VARIABLE = "BULRUSHDRUM_SETTINGS"


def read_router_settings(path: str) -> RouterSettings:
    """Return the settings in the file at `path`; raises `SettingsError`."""
    try:
        raw = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(path, [f"cannot be read: {error}"]) from error
    try:
        return _decode(raw)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise SettingsError(path, [f"missing or malformed field: {error!r}"]) from error


def _decode(raw):
    listen, bounds = raw["listen"], raw.get("bounds", {})
    limits = raw.get("limits", {})
    return RouterSettings(
        node=raw["node-name"],
        data_centre=raw["zone"],
        ip=raw["ip"],
        caller_address=listen["front"],
        ready_address=listen["ready-addr"],
        peer_port=int(raw["internal-ports"][0]),
        metrics_port=int(raw["internal-ports"][-1]),
        store_address=raw["platform"]["address"],
        heartbeat_seconds=float(raw.get("heartbeat-ms", 1000)) / 1000.0,
        # The ports that the platform's limit on descriptors leaves for sockets.
        max_descriptors=int(limits.get("max-fds", 1024)),
        retry_ratio=float(bounds.get("retry-budget-ratio", 0.1)),
        retry_extra=int(bounds.get("retry-budget-extra", 0)),
        retry_window_seconds=float(bounds.get("budget-window-s", 10)),
        stop_grace_seconds=float(bounds.get("grace-s", 8)),
        upstream_stall_seconds=float(bounds.get("stall_ms", 3000)) / 1000.0,
        returning_seconds=float(bounds.get("reuse-after-s", 2)),
    )
