"""Chooses one of several backend servers that may run an operation.

Costs are in operations: what running one at a server of usual speed takes of
its time. The lowest cost decides between availability zones, and between
servers with and without a connection. Servers that are alike in this and have
little more work share the operations, the faster ones with more: by a hash that
differs for each instance and operation. So instances that know the same and
choose at once do not choose the same server.
"""

import math
import zlib
from collections.abc import Sequence
from typing import NamedTuple

# In operations.
OPENING_COST = 1.5  # Opening a connection takes a server's time.
COLD_COST = 0.6  # A cold server is slower.
OTHER_ZONE_COST = 0.6  # The link to another availability zone.
PRIMARY_COST = 0.5  # What only the primary can run may follow at any time.
MAX_RESERVE_COST = 3.0  # The most that busy primaries are spared by.

# A server with more work than this, as a multiple of the least, gets none.
MAX_SHARING_RATIO = 1.4
SHARING_POWER = 4  # How quickly a server's part falls as its work rises.

HASH_FACTOR = 0x9E3779B97F4A7C15
HASH_MASK = 0xFFFFFFFFFFFFFFFF


class Candidate(NamedTuple):
    """A server that may run an operation.

    Attributes:
      server: Its id.
      load: The operations that this instance has there.
      slots: How many statements it runs at once.
      is_near: Whether it is in the availability zone of this instance.
      has_idle: Whether an idle connection to it can be used.
      is_cold: Whether it is warming up.
      slowdown: How many times longer than usual its statements take.
      reserve: What a primary is spared by, for what only it can run.
    """

    server: str
    load: int
    slots: int
    is_near: bool
    has_idle: bool
    is_cold: bool
    slowdown: float
    reserve: float


def choose(candidates: Sequence[Candidate], instance: str, number: int) -> str:
    """Returns the server for an operation.

    Args:
      candidates: The servers that may run it, at least one.
      instance: The instance that chooses.
      number: The operation's number there.
    """
    if len(candidates) == 1:
        return candidates[0].server
    common = _common_slowdown(candidates)
    costs = [cost(candidate, common) for candidate in candidates]
    cheapest = candidates[costs.index(min(costs))]
    least_work = _work(cheapest)
    best = cheapest.server
    best_rank = math.inf
    for candidate in candidates:
        ratio = _work(candidate) / least_work
        if ratio > MAX_SHARING_RATIO or not _is_alike(candidate, cheapest):
            continue
        rank = _draw(instance, number, candidate.server) * ratio**SHARING_POWER
        if rank < best_rank:
            best = candidate.server
            best_rank = rank
    return best


def cost(candidate: Candidate, common_slowdown: float = 1.0) -> float:
    """Returns what an operation costs at a server, for each of its slots.

    Args:
      candidate: The server.
      common_slowdown: How slow all servers are, which is no server's fault.
    """
    total = _work(candidate) / common_slowdown + candidate.reserve
    if not candidate.has_idle:
        total += OPENING_COST
    if not candidate.is_near:
        total += OTHER_ZONE_COST
    return total / max(1, candidate.slots)


def primary_reserve(
    primary_fraction: float,
    server_count: int,
    primary_only: int,
    slowdown: float,
) -> float:
    """Returns the cost by which a primary is spared reads.

    It grows with the part of the work that only the primary can do, up to an
    even part of all the work, and with the signs that this work waits.

    Args:
      primary_fraction: Which part of the work of the service needs the primary.
      server_count: How many servers may run reads.
      primary_only: The operations of this instance there that need it.
      slowdown: How many times longer than usual its statements take.
    """
    need = min(1.0, primary_fraction * server_count)
    pressure = primary_only + max(0.0, slowdown - 1.0)
    return PRIMARY_COST + need * min(MAX_RESERVE_COST, pressure)


def _work(candidate: Candidate) -> float:
    """Returns how much a server has to do, with the operation, at its speed."""
    work = 1.0 + candidate.load
    if candidate.is_cold:
        work += COLD_COST
    return work * candidate.slowdown


def _common_slowdown(candidates: Sequence[Candidate]) -> float:
    """Returns by how much all candidates are slow."""
    return max(1.0, min(each.slowdown for each in candidates))


def _is_alike(candidate: Candidate, other: Candidate) -> bool:
    """Returns whether two servers differ in their work only."""
    return (
        candidate.slots == other.slots
        and candidate.is_near == other.is_near
        and candidate.has_idle == other.has_idle
        and candidate.reserve == other.reserve
    )


def _draw(instance: str, number: int, server: str) -> float:
    """Returns an exponentially distributed value, by a hash.

    The lowest of several, each divided by a weight, is one of them with a
    probability in proportion to its weight.
    """
    mixed = zlib.crc32(f"{instance}/{number}".encode())
    mixed ^= zlib.crc32(server.encode()) * HASH_FACTOR
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    mixed ^= mixed >> 32
    return -math.log((mixed + 1) / (HASH_MASK + 2))
