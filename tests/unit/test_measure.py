"""Guards against a measurement case that is never run because another has the same name."""

import json
from types import SimpleNamespace

import pytest

from measure.figures import Figures
from scripts import measure as measure_script


def test_figures_are_one_json_line() -> None:
    line = Figures("c", "1 x 8", "broker", "", 1, {"wait_p99_ms": 2.5}).to_json()
    assert "\n" not in line
    assert json.loads(line)["figures"] == {"wait_p99_ms": 2.5}


def test_duplicate_case_name_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    module_infos = [SimpleNamespace(name="measure.a"), SimpleNamespace(name="measure.b")]
    monkeypatch.setattr(measure_script.pkgutil, "iter_modules", lambda *_, **__: iter(module_infos))
    module = SimpleNamespace(CASES={"same": lambda: iter(())})
    monkeypatch.setattr(measure_script.importlib, "import_module", lambda _: module)
    with pytest.raises(ValueError, match="defined twice"):
        measure_script.find_cases()
