"""Runs measurement cases and prints one JSON line per case and policy.

Cases are collected from the ``CASES`` dictionary of every module in ``measure/`` that has one.
"""

import argparse
import importlib
import pkgutil
import sys
import time

import measure
from measure.figures import Case
from nutmeglb_formats.exit_status import ExitStatus


def find_cases() -> dict[str, Case]:
    """Return all cases by name.

    Raises
    ------
    ValueError
        If two modules define the same name, because one of the cases would never run.
    """
    cases: dict[str, Case] = {}
    for module_info in pkgutil.iter_modules(measure.__path__, prefix="measure."):
        module = importlib.import_module(module_info.name)
        for name, case in getattr(module, "CASES", {}).items():
            if name in cases:
                raise ValueError(f"case {name} is defined twice; rename one in {module_info.name}")
            cases[name] = case
    return cases


def run_case(name: str, case: Case) -> None:
    """Run one case and print its figures, then its duration to standard error."""
    started_s = time.monotonic()
    for figures in case():
        print(figures.to_json(), flush=True)
    print(f"measure: {name} took {time.monotonic() - started_s:.1f} s", file=sys.stderr)


def main() -> int:
    """Run the chosen cases and return the exit status."""
    cases = find_cases()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", choices=sorted(cases), help="Run this case only.")
    parser.add_argument("--list", action="store_true", help="Print the names of all cases.")
    arguments = parser.parse_args()
    if arguments.list:
        print("\n".join(sorted(cases)))
        return ExitStatus.OK
    for name, case in cases.items():
        if arguments.case in (None, name):
            run_case(name, case)
    return ExitStatus.OK


if __name__ == "__main__":
    sys.exit(main())
