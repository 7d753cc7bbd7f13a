"""Latency histograms of one process, based on HdrHistogram.

>>> histograms = LatencyHistograms()
>>> histograms.record("first_token", 0.25)
>>> histograms.dump()["first_token"]["count"]
1
"""

from hdrh.histogram import HdrHistogram

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 3_600_000_000
# A histogram takes about 40 KB with two digits and eight times as much with three. The
# control plane of a node has 32 MB.
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 95, 99)


class LatencyHistograms:
    """Histograms by name. Durations are recorded in seconds."""

    def __init__(self):
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, name: str, seconds: float):
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = HdrHistogram(
                _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_DIGITS
            )
        histogram.record_value(max(int(seconds * 1e6), _LOWEST_MICROSECONDS))

    def dump(self) -> dict:
        """Return the count and the percentiles in milliseconds of each histogram."""
        return {
            name: {
                "count": histogram.get_total_count(),
                **{
                    f"p{percentile}_ms": round(
                        histogram.get_value_at_percentile(percentile) / 1000, 3
                    )
                    for percentile in _PERCENTILES
                },
            }
            for name, histogram in self._histograms.items()
        }
