"""Plot of a customer's load, refusals and delays over time.

Run it with `python -m bulrushdrum._internal.records.plot --help`. Only this module
requires matplotlib.
"""

from collections import Counter
from pathlib import Path

import cyclopts
import matplotlib

from bulrushdrum._internal.platform.objects import ObjectStore
from bulrushdrum._internal.records.record import RequestRecord
from bulrushdrum._internal.records.report import merge_records, read_records
from bulrushdrum._internal.world.requests import Outcome

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  the backend must be selected first

app = cyclopts.App(help="Plot a customer's load, refusals and delays over time.")


def time_series(
    records: list[RequestRecord], start: float, end: float, interval: float
):
    """Aggregate records over intervals of `interval` seconds.

    Returns the start times of the intervals, the number of requests by outcome, and the
    longest delay in seconds.
    """
    counts = {outcome: Counter() for outcome in Outcome}
    longest = Counter()
    for record in merge_records(records):
        if start <= record.arrival < end:
            index = int((record.arrival - start) // interval)
            counts[Outcome(record.outcome)][index] += record.count
            if record.wait_cause:
                longest[index] = max(longest[index], record.wait)
    indices = range(int(-(-(end - start) // interval)))
    times = [start + index * interval for index in indices]
    columns = {
        outcome.value: [counts[outcome][index] for index in indices]
        for outcome in Outcome
    }
    return times, columns, [longest[index] for index in indices]


@app.default
def plot(
    objects: str,
    customer: str,
    start: float,
    end: float,
    output: Path,
    interval: float = 60.0,
):
    """Write a plot of the requests that arrived from `start` until before `end`.

    Parameters
    ----------
    objects:
        Address of the object store.
    start, end:
        Seconds since the epoch.
    output:
        File to write, for example load.png.
    interval:
        Seconds for each point.
    """
    if not 0 < interval or not start < end:
        raise ValueError("interval must be positive and start before end")
    records = list(read_records(ObjectStore(objects, 10.0), customer, start, end))
    times, columns, delays = time_series(records, start, end, interval)
    figure, (load_axes, delay_axes) = pyplot.subplots(2, sharex=True, figsize=(9, 6))
    hours = [(time - start) / 3600 for time in times]
    for name, values in columns.items():
        load_axes.step(hours, values, where="post", label=name.replace("_", " "))
    load_axes.set_ylabel(f"requests in {interval:g} s")
    load_axes.legend()
    delay_axes.step(hours, delays, where="post")
    delay_axes.set_ylabel("longest delay, s")
    delay_axes.set_xlabel("hours since the start")
    load_axes.set_title(f"customer {customer}")
    figure.savefig(output)
    pyplot.close(figure)


if __name__ == "__main__":
    app()
