"""Report from log files: guards against wrong time series, and failure on unusable logs."""

import json
from pathlib import Path

import pytest

from nutmeglb_formats.timeline import merge_events, read_log
from scripts.report import report
from scripts.report_series import build_series


def line(at_s: float, instance: str = "e1", **fields: object) -> str:
    """Return a log line with the prefix of a log collector."""
    times = {"timestamp": at_s, "at_ms": at_s * 1e3, "order_ms": at_s * 1e3, "sequence": 1}
    return f"{at_s:9.3f} {instance} " + json.dumps({**fields, **times, "instance": instance})


def decision(at_s: float, kind: str, cause: str = "c", **fields: object) -> str:
    return line(at_s, kind=kind, cause=cause, message_type="decision", **fields)


LOG_LINES = [
    line(0.0, text="node: started", message_type="node"),
    line(0.1, text="leader: took over", message_type="leader"),
    decision(1.2, "job_accepted", job="00aa", queue="q"),
    decision(1.9, "tasks_placed", job="00aa", runs="0@w1:1 1@w1:1"),
    decision(2.5, "store_lost"),
    decision(2.6, "job_refused", "not confirmed by the store", job="00bb"),
    decision(3.5, "runs_ended", "done", job="00aa", runs="0:1"),
    decision(4.5, "store_regained"),
    decision(4.6, "job_completed", job="00aa"),
    line(5.0, text="election: leadership lost", message_type="election"),
    "6.0 e1 {half",
]


def test_series_of_a_log() -> None:
    series = build_series(merge_events([read_log(LOG_LINES).events]))
    assert series.accepted == {1: 1}
    assert series.refused == {"not confirmed by the store": {2: 1}}
    assert series.waits_s["q"][1] == [pytest.approx(0.7)]
    assert series.running == [0, 2, 2, 1, 1, 1]
    assert series.ended == {"completed": {4: 1}}
    assert [(s.begin_s, s.end_s) for s in series.leaders] == [(pytest.approx(0.1), 5.0)]
    assert [(s.begin_s, s.end_s) for s in series.without_store] == [(2.5, 4.5)]


@pytest.mark.parametrize("lines", [LOG_LINES, [], ["no log line"]])
def test_report_image_is_written(lines: list[str], tmp_path: Path) -> None:
    logs, out = tmp_path / "day.txt", tmp_path / "report.png"
    logs.write_text("\n".join(lines))
    assert report(str(logs), str(out)) == 0
    assert out.read_bytes().startswith(b"\x89PNG")


def test_missing_file_is_named(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert report(str(tmp_path / "absent"), str(tmp_path / "out.png")) != 0
    assert "absent cannot be read" in capsys.readouterr().err
