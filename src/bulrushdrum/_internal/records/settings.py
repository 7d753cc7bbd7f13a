"""Settings of the records layer."""

from dataclasses import dataclass

from bulrushdrum._internal.settings.reading import setting


@dataclass(frozen=True)
class RecordSettings:
    """How an entry copies, buffers and flushes its records."""

    flush_interval: float = setting(10.0, unit="seconds", low=0.05, high=3600.0)
    close_wait: float = setting(0.25, unit="seconds", low=0.0, high=10.0)
    # Records of this entry that are not in the object store yet. At full size an entry
    # has 13.4 requests/s, so these last for 124 minutes of an outage. Each takes about
    # 50 bytes at the entry and as many at its partner (`bench.slopes_limits`).
    max_unflushed: int = setting(100_000, unit="records", low=1, high=10_000_000)
