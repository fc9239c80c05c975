"""Draws submissions, waiting times, running work, leaders and store outages from log files.

``python -m scripts.report --logs=day.txt --out=report.png`` reads the log lines that instances
write to standard output. A log collector may have added a prefix to each line.
"""

import sys
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot
from matplotlib.axes import Axes
from result import Err

from nutmeglb_formats.command_line import resolve_command
from nutmeglb_formats.exit_status import ExitStatus
from nutmeglb_formats.timeline import merge_events, read_log
from scripts.report_series import Series, Span, build_series

SIZE_INCHES = (13, 15)
BAR_HEIGHT = 0.8
# Quantile of the waiting times of each second that is drawn.
WAIT_QUANTILE = 0.95


def draw(series: Series, path: Path) -> None:
    """Draw a report and write it as a PNG file."""
    figure, axes = pyplot.subplots(5, 1, figsize=SIZE_INCHES, sharex=True)
    _plot_submissions(axes[0], series)
    _plot_waits(axes[1], series)
    _plot_running(axes[2], series)
    _plot_ended_jobs(axes[3], series)
    _plot_instances(axes[4], series)
    axes[-1].set_xlabel("seconds since the first line")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _plot_submissions(axes: Axes, series: Series) -> None:
    seconds = range(series.seconds)
    counts = [[series.accepted[second] for second in seconds]]
    labels = ["accepted"]
    for cause, by_second in sorted(series.refused.items()):
        counts.append([by_second[second] for second in seconds])
        labels.append(f"refused: {cause}")
    axes.stackplot(seconds, counts, labels=labels, step="post", alpha=0.8)
    axes.set_ylabel("submissions per second")
    axes.legend(loc="upper left", fontsize="small")


def _plot_waits(axes: Axes, series: Series) -> None:
    for queue, by_second in sorted(series.waits_s.items()):
        seconds = sorted(by_second)
        values = [_quantile(by_second[second]) for second in seconds]
        axes.plot(seconds, values, label=f"{queue} ({sum(map(len, by_second.values()))} jobs)")
    axes.set_yscale("log")
    axes.set_ylabel("s from acceptance to\nfirst task placed, p95")
    if series.waits_s:
        axes.legend(loc="upper left", fontsize="small")


def _quantile(values: list[float]) -> float:
    ordered = sorted(values)
    return max(0.001, ordered[int((len(ordered) - 1) * WAIT_QUANTILE)])


def _plot_running(axes: Axes, series: Series) -> None:
    axes.fill_between(range(series.seconds), series.running, step="post", alpha=0.6)
    axes.set_ylabel("runs in progress")


def _plot_ended_jobs(axes: Axes, series: Series) -> None:
    for state, by_second in sorted(series.ended.items()):
        counts = [by_second[second] for second in range(series.seconds)]
        axes.step(range(series.seconds), counts, where="post", label=state)
    axes.set_ylabel("jobs ended per second")
    if series.ended:
        axes.legend(loc="upper left", fontsize="small")


def _plot_instances(axes: Axes, series: Series) -> None:
    names = sorted({span.instance for span in (*series.leaders, *series.without_store)})
    rows = {name: row for row, name in enumerate(names)}
    _plot_spans(axes, series.without_store, rows, "tab:orange", "misses the store")
    _plot_spans(axes, series.leaders, rows, "tab:blue", "leads")
    axes.set_yticks(range(len(names)), names, fontsize="small")
    if names:
        axes.legend(loc="upper left", fontsize="small")


def _plot_spans(
    axes: Axes, spans: list[Span], rows: dict[str, int], colour: str, label: str
) -> None:
    axes.barh(
        [rows[span.instance] for span in spans],
        [span.end_s - span.begin_s for span in spans],
        BAR_HEIGHT,
        [span.begin_s for span in spans],
        color=colour,
        alpha=0.7,
        label=label,
    )


def report(logs: str, out: str = "report.png") -> ExitStatus:
    """Draw a report of log files, separated by commas, as a PNG file."""
    streams = []
    for name in logs.split(","):
        try:
            text = Path(name).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            print(f"report: {name} cannot be read: {error.strerror}", file=sys.stderr)
            return ExitStatus.USAGE
        log = read_log(text.splitlines())
        if log.unreadable_count:
            print(
                f"report: {name}: {log.unreadable_count} unreadable lines skipped",
                file=sys.stderr,
            )
        streams.append(log.events)
    draw(build_series(merge_events(streams)), Path(out))
    print(out)
    return ExitStatus.OK


def main() -> int:
    """Parse the arguments, draw the report and return the exit status."""
    resolved = resolve_command(report, sys.argv[1:], "report")
    if isinstance(resolved, Err):
        print(f"report: {resolved.err_value}", file=sys.stderr)
        return ExitStatus.USAGE
    return int(resolved.ok_value())


if __name__ == "__main__":
    sys.exit(main())
