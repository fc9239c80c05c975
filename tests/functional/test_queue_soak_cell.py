"""The queue soak tells instances that end by themselves from those that it ends.

Guards against a soak that passes although an instance ends with an error and is started again.
"""

import signal
import time

import pytest

from scripts.queue_soak_cell import Instance

UNUSED_ADDRESS = "127.0.0.1:9"
LIMIT_S = 60.0


def wait_until_ended(instance):
    limit_s = time.monotonic() + LIMIT_S
    while instance.running and time.monotonic() < limit_s:
        time.sleep(0.02)
    assert not instance.running


@pytest.mark.parametrize(
    ("settings", "end", "by_itself"),
    [
        ("unreadable", lambda instance: None, True),
        ("unreadable", lambda instance: instance.kill(), True),
        ("", lambda instance: instance.kill(), False),
        ("", lambda instance: instance.send(signal.SIGKILL), False),
        ("", lambda instance: instance.send(signal.SIGTERM), False),
    ],
    ids=["error", "killed after an error", "killed", "sent KILL", "sent TERM"],
)
def test_instance_that_ends_by_itself_is_told_from_one_that_is_ended(
    tmp_path, settings, end, by_itself
):
    instance = Instance("edge-0", "east", UNUSED_ADDRESS, UNUSED_ADDRESS, tmp_path)
    if settings:
        (tmp_path / "edge-0.ini").write_text(settings)
    assert not instance.has_ended_by_itself
    instance.start()
    try:
        if settings:
            wait_until_ended(instance)
        assert instance.has_ended_by_itself == bool(settings)
        end(instance)
        wait_until_ended(instance)
        assert instance.has_ended_by_itself == by_itself
    finally:
        instance.kill()
