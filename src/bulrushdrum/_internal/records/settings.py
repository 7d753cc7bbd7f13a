"""Settings of the records layer."""

from dataclasses import dataclass

from bulrushdrum._internal.settings.reading import setting


@dataclass(frozen=True)
class RecordSettings:
    """Settings for copying, buffering and flushing of records at an entry."""

    flush_interval: float = setting(10.0, unit="seconds", low=0.05, high=3600.0)
    close_wait: float = setting(0.25, unit="seconds", low=0.0, high=10.0)
    # Limit on records of this entry that are not yet in the object store. At full size
    # an entry receives 13.4 requests/s, so the default covers an outage of 124 minutes.
    # A record uses about 50 bytes at the entry and as many at its partner
    # (`bench.slopes_limits`).
    max_unflushed: int = setting(100_000, unit="records", low=1, high=10_000_000)
