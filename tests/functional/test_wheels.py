"""Guards against packages that work from the source tree but not from their wheels."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

PACKAGES = Path(__file__).resolve().parents[2] / "packages"
# Loads the console script from the wheels on the path, as an installed script does.
RUN_ENTRY_POINT = """
import importlib.metadata, sys
program = sys.argv[1]
distribution = importlib.metadata.distribution(program)
(script,) = [e for e in distribution.entry_points if e.name == program]
function = script.load()
source = sys.modules[function.__module__].__file__
assert ".whl" in source, source
sys.argv = [program, "--version"]
sys.exit(function())
"""


@pytest.fixture(scope="module")
def wheels(tmp_path_factory: pytest.TempPathFactory) -> list[Path]:
    directory = tmp_path_factory.mktemp("wheels")
    for package in sorted(PACKAGES.iterdir()):
        command = [sys.executable, "-m", "hatchling", "build", "-t", "wheel", "-d", str(directory)]
        subprocess.run(command, cwd=package, check=True, capture_output=True, timeout=120)
    return sorted(directory.glob("*.whl"))


@pytest.mark.parametrize("program", ["nutmeglb", "nutmegctl"])
def test_entry_point_of_the_wheel_prints_its_version(program: str, wheels: list[Path]) -> None:
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(map(str, wheels))}
    finished = subprocess.run(
        [sys.executable, "-c", RUN_ENTRY_POINT, program],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (finished.returncode, finished.stderr) == (0, "")
    assert finished.stdout.startswith(f"{program} 0.")
