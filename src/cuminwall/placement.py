"""Assigns roles to instances by rendezvous hashing.

Every instance computes the assignment by itself from the instance list. The
results may differ between instances for a while; where only one instance may
act, leases ensure it.
"""

import functools
import hashlib
from collections.abc import Iterable

RELAYS_PER_ZONE = 2
MEMBERS_PER_RELAY = 100
HOME_SETS_PER_SHARD = 8


@functools.lru_cache(maxsize=65536)
def _key_hash(name: str) -> int:
    """Returns a 64-bit hash that is the same on every instance."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def score(name: str, member: str) -> int:
    """Returns the score of `member` for `name`; the highest is responsible."""
    mixed = _key_hash(name) ^ (_key_hash(member) * 0x9E3779B97F4A7C15)
    mixed &= 0xFFFFFFFFFFFFFFFF
    mixed ^= mixed >> 29
    mixed = mixed * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return mixed ^ (mixed >> 32)


def ranked(name: str, members: Iterable[str]) -> list[str]:
    """Returns the members by their score for `name`, the highest first."""
    return sorted(
        members, key=lambda member: (score(name, member), member), reverse=True
    )


def shard_of(name: str, shard_count: int) -> int:
    """Returns the shard that a service or workspace belongs to."""
    return _key_hash(name) % shard_count


@functools.lru_cache(maxsize=65536)
def home_set(service: str, shard_count: int) -> str:
    """Returns the name of the set of services that share their homes.

    A set lies within one shard, so that a home talks to few stewards.
    """
    shard = shard_of(service, shard_count)
    place = _key_hash(f"homes:{service}") % HOME_SETS_PER_SHARD
    return f"{shard}/{place}"


def relay_count(members_in_zone: int) -> int:
    """Returns how many relays a zone of this size has."""
    return RELAYS_PER_ZONE + members_in_zone // MEMBERS_PER_RELAY
