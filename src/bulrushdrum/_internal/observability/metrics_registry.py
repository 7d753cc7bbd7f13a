"""Counters, levels and latency histograms of a router as a text page.

The page has the text format that Prometheus reads.

>>> registry = MetricsRegistry()
>>> registry.increment("requests", kind="streaming")
>>> print(registry.render({}), end="")
# TYPE bulrushdrum_requests_total counter
bulrushdrum_requests_total{kind="streaming"} 1
"""

from collections import Counter

from bulrushdrum._internal.observability.latency_histograms import LatencyHistograms

_PREFIX = "bulrushdrum_"


class MetricsRegistry:
    """What a process counts and measures."""

    def __init__(self):
        self._counts: Counter[tuple] = Counter()
        self._latencies = LatencyHistograms()

    def increment(self, name: str, **labels: str):
        self._counts[name, tuple(sorted(labels.items()))] += 1

    def record(self, name: str, seconds: float):
        """Add a time to the histogram called `name`."""
        self._latencies.record(name, seconds)

    def render(self, levels: dict[str, float]) -> str:
        """Return the page; `levels` are values as they are now."""
        lines, typed = [], set()
        for (name, labels), value in sorted(self._counts.items()):
            full = f"{_PREFIX}{name}_total"
            if full not in typed:
                typed.add(full)
                lines.append(f"# TYPE {full} counter")
            lines.append(f"{full}{_labels(labels)} {value}")
        for name, value in sorted(levels.items()):
            lines.append(f"# TYPE {_PREFIX}{name} gauge")
            lines.append(f"{_PREFIX}{name} {value}")
        for name, summary in sorted(self._latencies.dump().items()):
            full = f"{_PREFIX}{name}_seconds"
            lines.append(f"# TYPE {full} summary")
            for key, value in summary.items():
                if key != "count":
                    quantile = int(key[1:-3]) / 100
                    lines.append(f'{full}{{quantile="{quantile}"}} {value / 1000}')
            lines.append(f"{full}_count {summary['count']}")
        return "".join(f"{line}\n" for line in lines)


def _labels(labels):
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
