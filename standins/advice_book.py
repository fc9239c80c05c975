"""Decisions of the platform's advice service: which workers may run a step, and their tickets."""

import random
from dataclasses import dataclass

APPROVED_SHARE = 0.6
# Configuration of a queue with advice.
DECIDE_MS, EACH_MS, VALID_MS = 40.0, 1.0, 3_000.0
MAX_WORKERS = 100
MAX_WAITING = 32
MS_PER_S = 1_000.0


def is_approved(step: str, worker_id: str) -> bool:
    """Return whether a worker may run a step, which never changes."""
    return random.Random(f"{step} {worker_id}").random() < APPROVED_SHARE


def answer_delay_s(workers: int) -> float:
    """Return how long a call about some workers takes."""
    return (DECIDE_MS + EACH_MS * workers) / MS_PER_S


@dataclass(frozen=True, slots=True)
class Ticket:
    """What a ticket permits. It ends with the worker's life."""

    step: str
    worker_id: str
    life: int
    expires_s: float


class AdviceBook:
    """Tickets that were issued."""

    def __init__(self) -> None:
        self._tickets: dict[str, Ticket] = {}

    def issue(self, step: str, worker_id: str, life: int, now_s: float) -> str:
        """Return a new ticket."""
        name = f"t{len(self._tickets)}"
        self._tickets[name] = Ticket(step, worker_id, life, now_s + VALID_MS / MS_PER_S)
        return name

    def is_valid(self, name: str, step: str, worker_id: str, life: int, now_s: float) -> bool:
        """Return whether a ticket permits a start of a task of a step."""
        ticket = self._tickets.get(name)
        if ticket is None or now_s >= ticket.expires_s:
            return False
        return (ticket.step, ticket.worker_id, ticket.life) == (step, worker_id, life)
