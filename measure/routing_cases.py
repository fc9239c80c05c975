"""Routing cases: waiting time and goodput of the shipped broker compared with other policies.

The cases run the shipped decision code in simulated time. See ``docs/measurements.md``.
"""

from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import partial

from measure.figures import Case, Figures
from measure.routing_broker import ShippedBroker
from measure.routing_harness import (
    MEAN_MS,
    SHOREWATER,
    TURVATOOL,
    Policy,
    Run,
    Scenario,
    copy_trace,
    make_trace,
    summarize,
)
from measure.routing_policies import (
    FixedShares,
    IdealQueue,
    at_random,
    least_outstanding,
    power_of_two,
    round_robin,
)

IDEAL = "ideal-queue-per-domain"
# Targets from section 13 of the design document. A number in a name is the load in percent; the
# limit of retries applies at every load.
MAX_EXTRA_WAIT_80_MS = 0.05 * MEAN_MS
MAX_WAIT_FACTOR_95 = 1.5
MIN_GOODPUT_200 = 0.95
MAX_RETRIES_PER_REQUEST = 0.1
SHOREWATER_SKEW = (4.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0)

POLICIES: tuple[Callable[[], Policy], ...] = (
    partial(IdealQueue, per_domain=True),
    partial(IdealQueue, per_domain=False),
    ShippedBroker,
    partial(FixedShares, "power-of-two", power_of_two),
    partial(FixedShares, "random", at_random),
    partial(FixedShares, "round-robin", round_robin),
    partial(FixedShares, "least-outstanding", least_outstanding),
)


def compare(scenario: Scenario) -> Iterator[Figures]:
    """Run every policy on the same trace and yield its figures."""
    trace = make_trace(scenario)
    ideal: dict[str, float] = {}
    for make_policy in POLICIES:
        policy = make_policy()
        figures = summarize(scenario, Run(scenario, copy_trace(trace), policy).execute())
        ideal = figures if policy.name == IDEAL else ideal
        targets = _targets(scenario, figures, ideal) if policy.name == "broker" else {}
        yield Figures(
            case=scenario.name,
            size=f"{scenario.size}, {scenario.load:.0%} of slots",
            policy=policy.name,
            baseline="" if policy.name == IDEAL else IDEAL,
            seed=scenario.seed,
            figures=figures,
            targets=targets,
        )


def _targets(
    scenario: Scenario, figures: dict[str, float], ideal: dict[str, float]
) -> dict[str, str]:
    targets = {
        "retries": _verdict(figures["retries_per_request"], MAX_RETRIES_PER_REQUEST, at_most=True)
    }
    if scenario.load == 0.8:
        limit_ms = ideal["wait_p99_ms"] + MAX_EXTRA_WAIT_80_MS
        targets["wait_p99_ms"] = _verdict(figures["wait_p99_ms"], limit_ms, at_most=True)
    elif scenario.load == 0.95:
        limit_ms = ideal["wait_p99_ms"] * MAX_WAIT_FACTOR_95
        targets["wait_p99_ms"] = _verdict(figures["wait_p99_ms"], limit_ms, at_most=True)
    elif scenario.load == 2.0:
        targets["goodput"] = _verdict(figures["goodput_share"], MIN_GOODPUT_200, at_most=False)
        share = figures["urgent_in_time_share"]
        targets["urgent_in_time"] = _verdict(share, ideal["urgent_in_time_share"], at_most=False)
    return targets


def _verdict(value: float, limit: float, *, at_most: bool) -> str:
    met = value <= limit if at_most else value >= limit
    sign = "<=" if at_most else ">="
    return f"{'met' if met else 'missed'}: {value:.4g} {sign} {limit:.4g}"


def _compare_at_load(load: float) -> Iterator[Figures]:
    for size in (SHOREWATER, TURVATOOL):
        yield from compare(Scenario(f"routing_load_{load * 100:.0f}", size, load))


def _compare_in_both_sizes(scenario: Scenario) -> Iterator[Figures]:
    yield from compare(scenario)
    yield from compare(
        replace(scenario, size=TURVATOOL, instance_weights=_turvatool_weights(scenario))
    )


def _turvatool_weights(scenario: Scenario) -> tuple[float, ...]:
    # Turvatool has eight entry instances and Shorewater seven.
    weights = scenario.instance_weights
    return (*weights, 1.0) if weights else ()


_FAULT_SCENARIOS = (
    Scenario("routing_skew", SHOREWATER, 0.8, instance_weights=SHOREWATER_SKEW),
    Scenario("routing_slow_endpoint", SHOREWATER, 0.8, slow=frozenset({0})),
    Scenario("routing_failing_endpoint", SHOREWATER, 0.8, failing=frozenset({0})),
    Scenario("routing_instance_dies", SHOREWATER, 0.8, failing_instance=1),
    Scenario("routing_deferred_flood", SHOREWATER, 0.7, flood=2.0),
)

CASES: dict[str, Case] = {
    **{
        f"routing_load_{load:.0f}": partial(_compare_at_load, load / 100)
        for load in (50, 80, 95, 110, 200)
    },
    **{scenario.name: partial(_compare_in_both_sizes, scenario) for scenario in _FAULT_SCENARIOS},
}
