"""Task placement: order, quotas, holds, preemption, quarantine and jobs declared in tickets."""

import random
from collections.abc import Callable

import pytest

from nutmeglb_decisions.invariants import require
from nutmeglb_decisions.tasks.events import Configured, ListedWorker, WorkersListed
from nutmeglb_decisions.tasks.ledger import Ledger
from nutmeglb_decisions.tasks.placement import PlacementEngine, pack_score, spread_score
from nutmeglb_decisions.tasks.quarantine import Quarantine
from nutmeglb_decisions.tasks.quotas import Quotas
from nutmeglb_decisions.tasks.submission import choose_domain, submitted_job_id
from nutmeglb_decisions.tasks.wait_reasons import wait_reason
from nutmeglb_formats.exceptions import InvariantViolation
from nutmeglb_formats.models.config import (
    Config,
    JobDefinition,
    JobKind,
    Policy,
    RequestClass,
    Service,
    Team,
)
from nutmeglb_formats.models.jobs import WaitReason
from nutmeglb_formats.models.resources import Resources
from nutmeglb_formats.models.tasks import JobAccepted
from tests.lib.task_world import GIB, World
from tests.lib.tasks import make_config, make_spec

CORE = Resources(1_000, GIB, 0)


def over_allocate_worker() -> None:
    ledger = Ledger()
    ledger.set_capacity("w", CORE, "r")
    ledger.allocate("w", "a", CORE)
    ledger.allocate("w", "b", Resources(1, 0, 0))


def corrupt_ledger_sum() -> None:
    ledger = Ledger()
    account = ledger.set_capacity("w", CORE, "r")
    ledger.allocate("w", "a", CORE)
    account.free = CORE
    ledger.audit(account)


def exceed_quota() -> None:
    quotas = Quotas("a")
    quotas.configure(make_config(teams={"labs": Team("labs", CORE)}))
    quotas.charge("labs", CORE)
    quotas.charge("labs", Resources(1, 0, 0))


@pytest.mark.parametrize("violate", [over_allocate_worker, corrupt_ledger_sum, exceed_quota])
def test_exceeded_limits_raise_invariant_violations(violate: Callable[[], None]) -> None:
    """Guards against an undetected over-commitment of a worker or a quota."""
    with pytest.raises(InvariantViolation) as caught:
        violate()
    assert "invariant" in caught.value.context


def test_require_names_the_invariant() -> None:
    """Guards against a violation counter without its label, which is read from the context."""
    with pytest.raises(InvariantViolation) as caught:
        require(False, "single_run", "text", task="t")
    assert caught.value.context == {"invariant": "single_run", "task": "t"}


def test_quotas_of_all_domains_stay_within_the_quota() -> None:
    """Guards against a team that uses its full quota in every domain during a partition."""
    policy = Policy("default", domain_weights={"a": 0.3, "b": 0.3, "c": 0.4})
    team = Team("labs", Resources(1_001, 1_001, 7))
    config = Config(teams={"labs": team}, policies={"default": policy})
    total = Resources()
    for domain in ("a", "b", "c", "d"):
        quotas = Quotas(domain)
        quotas.configure(config)
        total = total + (quotas.limit("labs") or Resources())
    assert total.fits_in(team.quota)


@pytest.mark.parametrize(
    ("policy", "chosen"),
    [("pack", "busy"), ("spread", "idle")],
)
def test_placement_policy_decides_the_worker(policy: str, chosen: str) -> None:
    """Guards against placement policies that choose the same worker."""
    ledger = Ledger()
    engine = PlacementEngine(ledger.accounts())
    for worker in ("busy", "idle", "small"):
        capacity = CORE if worker == "small" else CORE.scaled(8)
        ledger.set_capacity(worker, capacity, worker)
        engine.enable(worker)
    ledger.allocate("busy", "x", CORE.scaled(4))
    engine.refresh(ledger.accounts()["busy"])
    score = spread_score(lambda worker: 0, lambda rack: 0) if policy == "spread" else pack_score
    assert engine.choose(CORE.scaled(2), score, spread=policy == "spread") == chosen


def submission_ids_in_start_order(world: World) -> list[str]:
    jobs = world.leader.lifecycle.jobs
    runs = sorted(world.started(), key=lambda run: (run.start_ms or 0.0, run.attempt))
    return [jobs[run.attempt.rsplit("/", 2)[0]].spec.submission_id for run in runs]


def test_start_order_is_class_then_age_within_a_team() -> None:
    """Guards against deferred work ahead of urgent work, and a team's newer jobs first."""
    world = World(make_config(), workers=1, cpu_millis=1_000)
    world.submit(make_spec("labs-1"))
    world.submit(make_spec("labs-2"))
    world.submit(make_spec("counters-1", team="counters"))
    world.submit(make_spec("urgent", job_class=RequestClass.URGENT))
    world.commit_all()
    for _ in range(20):
        world.run_round(20.0)
    order = submission_ids_in_start_order(world)
    assert order[0] == "urgent"
    assert set(order) == {"urgent", "labs-1", "labs-2", "counters-1"}
    assert order.index("labs-1") < order.index("labs-2")


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"resources": Resources(9_000, GIB, 0)}, WaitReason.FITS_NOWHERE),
        ({"kind": JobKind.GANG, "tasks": 13}, WaitReason.FITS_NOWHERE),
        ({"resources": Resources(65_000, GIB, 0)}, WaitReason.QUOTA),
        ({"kind": JobKind.GANG, "tasks": 70}, WaitReason.QUOTA),
    ],
)
def test_impossible_jobs_are_reported_and_not_retried(
    changes: dict[str, object], reason: WaitReason
) -> None:
    """Guards against jobs that can never start but are tried again at every step."""
    world = World(make_config())
    world.run_round()
    world.submit(make_spec(**changes))
    world.commit_all()
    world.run_round()
    job = next(iter(world.leader.lifecycle.jobs.values()))
    assert wait_reason(world.leader.lifecycle, job, world.clock.now_ms())[0] is reason
    assert not world.leader.has_work(world.clock.now_ms())


def test_infeasible_job_starts_after_a_worker_has_grown() -> None:
    """Guards against a task size that stays infeasible after a worker has gained capacity."""
    world = World(make_config(), workers=2)
    world.run_round()
    world.submit(make_spec(resources=Resources(9_000, GIB, 0)))
    world.commit_all()
    world.run_round()
    world.agents["w1"].capacity = Resources(16_000, 16 * GIB, 0)
    for _ in range(5):
        world.run_round()
    assert len(world.started()) == 1


def test_gang_starts_although_small_tasks_keep_coming() -> None:
    """Guards against starvation of a gang by small tasks that always fit before it."""
    world = World(make_config(), workers=2, cpu_millis=2_000)
    world.run_round()
    rng = random.Random(3)
    gang = make_spec("gang", kind=JobKind.GANG, tasks=4, team="counters", command="run_ms=100")
    for number in range(200):
        run_ms = rng.randrange(200, 900)
        world.submit(make_spec(f"s{number}", run_ms=float(run_ms), command=f"run_ms={run_ms}"))
        if number == 10:
            world.submit(gang)
        world.commit_all()
        world.run_round(100.0)
    assert "gang" in submission_ids_in_start_order(world)
    assert sum(name == "gang" for name in submission_ids_in_start_order(world)) == 4


@pytest.mark.parametrize("per_minute", [0, 60])
def test_urgent_work_preempts_within_the_budget(per_minute: int) -> None:
    """Guards against urgent tasks that wait for long ones, and against unbounded preemption."""
    policy = Policy("default", domain_weights={"a": 1.0}, preemptions_per_minute=per_minute)
    world = World(make_config(policies={"default": policy}), workers=1, cpu_millis=2_000)
    world.run_round()
    world.submit(make_spec(tasks=2, command="run_ms=60000"))
    world.commit_all()
    for _ in range(4):
        world.run_round()
    world.submit(make_spec("urgent", job_class=RequestClass.URGENT))
    world.commit_all()
    for _ in range(12):
        world.run_round()
    outcomes = [run.outcome for run in world.runs()]
    assert outcomes.count("checkpointed") == (1 if per_minute else 0)
    assert ("urgent" in submission_ids_in_start_order(world)) == bool(per_minute)


def test_urgent_work_preempts_for_the_quota_of_its_own_team() -> None:
    """Guards against an urgent task that waits for quota used by deferred tasks of its team."""
    teams = {"labs": Team("labs", CORE.scaled(2))}
    world = World(make_config(teams=teams), workers=2)
    world.run_round()
    world.submit(make_spec(tasks=2, command="run_ms=60000"))
    world.commit_all()
    for _ in range(4):
        world.run_round()
    world.submit(make_spec("urgent", job_class=RequestClass.URGENT))
    world.commit_all()
    for _ in range(12):
        world.run_round()
    assert "urgent" in submission_ids_in_start_order(world)


@pytest.mark.parametrize(
    ("failures", "quarantined"),
    [
        ([("w0", f"job{n}") for n in range(5)], {"w0"}),
        ([(f"w{n}", "bad") for n in range(5)], set()),
        ([("w0", "bad")] * 20, set()),
        ([(f"w{n}", f"job{m}") for m in range(5) for n in range(5)], {"w0"}),
    ],
)
def test_failures_are_attributed_to_the_worker_or_the_job(
    failures: list[tuple[str, str]], quarantined: set[str]
) -> None:
    """Guards against a faulty job that quarantines many workers, and a faulty worker in use."""
    quarantine = Quarantine(random.Random(1))
    for number in range(6):
        for worker in ("w1", "w2", "w3"):
            quarantine.succeeded(worker, ("labs", f"job{number}"))
    for worker, job in failures:
        quarantine.failed(worker, ("labs", job), 5, 0.0)
    closed = {f"w{n}" for n in range(5) if not quarantine.allows(f"w{n}")}
    assert len(closed) <= 1
    assert closed == quarantined or len(failures) == 25
    assert quarantine.fails_everywhere(("labs", "bad"), 5) == (
        len({w for w, _ in failures}) == 5 and failures[0][1] == "bad"
    )


def test_failing_job_backs_off_although_its_name_succeeds_elsewhere() -> None:
    """Guards against endless retries of a job that fails at once, which would delay all others."""
    world = World(make_config(), workers=3)
    world.run_round()
    large = Resources(3_000, GIB, 0)
    world.submit(make_spec("bad", tasks=3, resources=large, command="run_ms=5 outcome=failed"))
    for number in range(30):
        world.submit(make_spec(f"good{number}", resources=large, command="run_ms=100"))
    world.commit_all()
    for _ in range(200):
        world.run_round(100.0)
    outcomes = [run.outcome for run in world.runs()]
    assert outcomes.count("succeeded") == 30
    assert outcomes.count("failed") < 30


def test_ticket_job_is_created_once_per_ticket() -> None:
    """Guards against a second job for one ticket after a leader change or repeated delivery."""
    job = JobDefinition("nightly", "labs", "a", JobKind.BATCH, 2, CORE, command="run_ms=10")
    config = make_config(jobs={"nightly": job}, changed_by={"jobs/nightly": 7}, number=7)
    world = World(config)
    for _ in range(3):
        world.handle(Configured(config, 0.0))
        world.commit_all()
        world.replace_leader()
    older = make_config(jobs={"nightly": job}, changed_by={"jobs/nightly": 5}, number=5)
    world.handle(Configured(older, 0.0))
    world.handle(Configured(make_config(number=5), 0.0))
    world.commit_all()
    assert len(world.records(JobAccepted)) == 1
    assert not next(iter(world.leader.lifecycle.jobs.values())).cancelled
    newer = make_config(jobs={"nightly": job}, changed_by={"jobs/nightly": 9}, number=9)
    world.handle(Configured(newer, 0.0))
    world.commit_all()
    assert len(world.records(JobAccepted)) == 2


def test_service_replicas_are_replaced_resized_and_removed() -> None:
    """Guards against a service with too few or too many replicas."""
    world = World(make_config())

    def set_replicas(number: int, replicas: int, cpu: int = 500) -> None:
        service = Service("shade", "labs", replicas=replicas, resources=Resources(cpu, GIB, 0))
        config = make_config(
            services={"shade": service}, changed_by={"services/shade": number}, number=number
        )
        world.config = config
        world.handle(Configured(config, 0.0))
        for _ in range(8):
            world.run_round()

    def running() -> int:
        return sum(len(agent.tasks) for agent in world.agents.values())

    set_replicas(2, 4)
    assert running() == 4
    world.agents["w0"].restart("2")
    for _ in range(6):
        world.run_round()
    assert running() == 4
    set_replicas(3, 2)
    assert running() == 2
    world.replace_leader()
    set_replicas(4, 3, cpu=600)
    assert running() == 3
    set_replicas(5, 0)
    assert running() == 0


def test_leaving_worker_receives_no_new_tasks() -> None:
    """Guards against new tasks on a worker that the platform is about to remove."""
    world = World(make_config(), workers=2)
    world.run_round()
    world.handle(WorkersListed((ListedWorker("w0", leaving=True), ListedWorker("w1"))))
    world.submit(make_spec(tasks=8, command="run_ms=60000"))
    world.commit_all()
    for _ in range(4):
        world.run_round()
    assert {run.attempt for run in world.agents["w0"].record} == set()
    assert len(world.agents["w1"].record) == 4


def test_repeated_submission_reaches_one_domain() -> None:
    """Guards against a repeated submission that creates jobs in two domains."""
    policy = Policy("default", domain_weights={"a": 0.5, "b": 0.25, "c": 0.25})
    chosen = [choose_domain("labs", f"s{n}", policy, "x") for n in range(4_000)]
    assert 0.45 < chosen.count("a") / len(chosen) < 0.55
    assert chosen[:5] == [choose_domain("labs", f"s{n}", policy, "y") for n in range(5)]
    assert submitted_job_id("a", "labs", "s1") != submitted_job_id("a", "counters", "s1")


def test_gang_starts_although_a_failing_gang_waits_for_the_same_probe() -> None:
    """Guards against a failing gang that takes every probe of a worker that a healthy one needs."""
    world = World(make_config(), workers=3)
    world.run_round()
    tracker = world.leader._outcomes
    for number in range(6):
        tracker._quarantine.failed("w0", ("labs", f"job{number}"), 4, world.clock.now_ms())
    tracker._availability_changed("w0")
    assert not tracker._quarantine.allows("w0")
    large = Resources(3_000, GIB, 0)
    commands = {"bad": "run_ms=20 outcome=failed", "good": "run_ms=20"}
    for submission, command in commands.items():
        spec = make_spec(submission, kind=JobKind.GANG, tasks=3, resources=large, command=command)
        world.submit(spec)
    world.commit_all()
    healthy = list(world.leader.lifecycle.jobs.values())[1]
    for _ in range(1_000):
        world.run_round(100.0)
    assert healthy.done_count == 3
