"""Unique identifiers, created from an injected random generator."""

import random
import uuid

UUID_BITS = 128


def new_id(rng: random.Random) -> str:
    """Return a random UUID as 32 hexadecimal digits, reproducible with a seeded generator."""
    return uuid.UUID(int=rng.getrandbits(UUID_BITS), version=4).hex
