"""Random event sequences in a domain with lost messages and leader changes.

Guards against exceeding the slot limit (G1), reporting a request as not run although it ran (G4),
more than one run of a non-idempotent request (G5) and new requests for leaving endpoints (G6).
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from nutmeglb_formats.exceptions import InvariantViolation
from tests.lib.routing_model import SERVICE, START_WITHIN_MS, Domain

holder_names = st.sampled_from(("h0", "h1", "h2"))


class DomainMachine(RuleBasedStateMachine):
    """Instances with lost, repeated and reordered messages, pauses, crashes and new leaders."""

    @initialize(number=st.integers(0, 1_000))
    def begin(self, number: int) -> None:
        self.domain = Domain(number)

    @rule(
        name=holder_names,
        idempotent=st.booleans(),
        urgent=st.booleans(),
        timeout_ms=st.sampled_from((100.0, 600.0, 3_000.0)),
        count=st.integers(1, 8),
    )
    def request(
        self, name: str, idempotent: bool, urgent: bool, timeout_ms: float, count: int
    ) -> None:
        holder = self.domain.holders[name]
        if not holder.paused:
            for _ in range(count):
                self.domain.request(holder, idempotent, urgent, timeout_ms)

    @precondition(lambda self: self.domain.messages)
    @rule(data=st.data(), count=st.integers(1, 6))
    def deliver(self, data: st.DataObject, count: int) -> None:
        for _ in range(min(count, len(self.domain.messages))):
            self.domain.deliver(data.draw(st.integers(0, len(self.domain.messages) - 1)))

    @rule()
    def deliver_all(self) -> None:
        for _ in range(len(self.domain.messages)):
            self.domain.deliver(0)

    @precondition(lambda self: self.domain.messages)
    @rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        self.domain.messages.pop(data.draw(st.integers(0, len(self.domain.messages) - 1)))

    @precondition(lambda self: self.domain.messages)
    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.domain.messages) - 1))
        self.domain.messages.append(self.domain.messages[index])

    @rule(timeout_ms=st.sampled_from((150.0, 1_500.0)))
    def fill_slots(self, timeout_ms: float) -> None:
        """Send more requests than there are slots and deliver all messages."""
        for holder in self.domain.holders.values():
            if not holder.paused:
                for _ in range(3):
                    self.domain.request(holder, False, True, timeout_ms)
        self.deliver_all()
        self.domain.advance(25.0)

    @rule(duration_ms=st.sampled_from((25.0, 100.0, START_WITHIN_MS, SERVICE.max_run_ms, 1_500.0)))
    def advance(self, duration_ms: float) -> None:
        self.domain.advance(duration_ms)

    @rule(name=holder_names)
    def pause(self, name: str) -> None:
        self.domain.holders[name].paused = True

    @rule(name=holder_names)
    def resume(self, name: str) -> None:
        if self.domain.holders[name].paused:
            self.domain.resume(self.domain.holders[name])

    @rule(old_dies=st.booleans())
    def change_leader(self, old_dies: bool) -> None:
        self.domain.change_leader(old_dies=old_dies)

    @rule(name=holder_names)
    def die(self, name: str) -> None:
        if name != self.domain.leader:
            self.domain.die(name)

    @precondition(lambda self: not self.domain.leaving_since_ms)
    @rule(endpoint=st.sampled_from(("e0", "e1")))
    def leave(self, endpoint: str) -> None:
        self.domain.leave(endpoint)

    def teardown(self) -> None:
        """After an idle period, every slot is free and every request has been answered."""
        if not hasattr(self, "domain"):
            return
        for holder in self.domain.holders.values():
            self.domain.resume(holder)
        for _ in range(12):
            self.deliver_all()
            self.domain.advance(500.0)
        service = self.domain.broker.service("s")
        assert service is not None
        assert not service.grants
        assert not service.queued
        holders_with_requests = [h for h in self.domain.holders.values() if h.attempts]
        assert not holders_with_requests


TestDomain = DomainMachine.TestCase
TestDomain.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, database=None, derandomize=True
)


def test_granting_a_full_endpoint_is_a_violation() -> None:
    """Guards against a capacity check that never detects a violation."""
    domain = Domain(1)
    service = domain.broker.service("s")
    assert service is not None
    state = service.pool.get("e0")
    assert state is not None
    for _ in range(SERVICE.slots):
        service.pool.take_slot(state, 0.0)
    with pytest.raises(InvariantViolation, match="granted twice"):
        service.pool.take_slot(state, 0.0)


def test_granting_a_leaving_endpoint_is_a_violation() -> None:
    domain = Domain(1)
    domain.leave("e0")
    service = domain.broker.service("s")
    assert service is not None
    state = service.pool.get("e0")
    assert state is not None
    with pytest.raises(InvariantViolation, match="leaving"):
        service.pool.take_slot(state, 0.0)
