"""Counters, gauges and latency summaries of a router in the Prometheus text format.

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
    """The counters and latency histograms of one process."""

    def __init__(self):
        self._counters: Counter[tuple] = Counter()
        self._latencies = LatencyHistograms()

    def increment(self, name: str, **labels: str):
        self._counters[name, tuple(sorted(labels.items()))] += 1

    def record(self, name: str, seconds: float):
        """Record a duration in the histogram called `name`."""
        self._latencies.record(name, seconds)

    def render(self, gauges: dict[str, float]) -> str:
        """Return all metrics as text; `gauges` holds current values by name."""
        lines, declared = [], set()
        for (name, labels), value in sorted(self._counters.items()):
            metric_name = f"{_PREFIX}{name}_total"
            if metric_name not in declared:
                declared.add(metric_name)
                lines.append(f"# TYPE {metric_name} counter")
            lines.append(f"{metric_name}{_format_labels(labels)} {value}")
        for name, value in sorted(gauges.items()):
            lines.append(f"# TYPE {_PREFIX}{name} gauge")
            lines.append(f"{_PREFIX}{name} {value}")
        for name, summary in sorted(self._latencies.dump().items()):
            metric_name = f"{_PREFIX}{name}_seconds"
            lines.append(f"# TYPE {metric_name} summary")
            for key, value in summary.items():
                if key != "count":
                    quantile = int(key[1:-3]) / 100
                    lines.append(
                        f'{metric_name}{{quantile="{quantile}"}} {value / 1000}'
                    )
            lines.append(f"{metric_name}_count {summary['count']}")
        return "".join(f"{line}\n" for line in lines)


def _format_labels(labels):
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in labels) + "}"
