"""Timing, memory and straight-line fits for the capacity measurements."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

CALIBRATION_LOOPS = 200_000
REPEATS = 6
CONSTANT_TOLERANCE = 1e-12


class Slope(NamedTuple):
    """A straight line through measured points.

    Attributes:
      name: The name of the measurement.
      unit: The unit of the values.
      per: What the sizes count.
      sizes: The sizes that were measured at.
      values: The value at each size.
      slope: The value that one more of `per` adds.
      intercept: The value at size 0, by the line.
      r_squared: How well the line fits; 1 is exact.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    r_squared: float

    def at(self, size: float) -> float:
        """Returns the value at a size, by the line."""
        return self.intercept + self.slope * size


def fit(
    name: str, unit: str, per: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Returns the least-squares line through the points."""
    sizes = tuple(float(size) for size, _ in points)
    values = tuple(float(value) for _, value in points)
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    size_variation = sum((size - mean_size) ** 2 for size in sizes)
    slope = 0.0
    for size, value in points:
        slope += (size - mean_size) * (value - mean_value) / size_variation
    intercept = mean_value - slope * mean_size
    total = sum((value - mean_value) ** 2 for value in values)
    residual = 0.0
    for size, value in points:
        residual += (value - intercept - slope * size) ** 2
    # The variation of a constant is rounding alone, so r squared means nothing.
    is_constant = total <= CONSTANT_TOLERANCE * max(1.0, mean_value**2)
    r_squared = 1.0 if is_constant else 1.0 - residual / total
    return Slope(name, unit, per, sizes, values, slope, intercept, r_squared)


def cpu_s(action: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Returns the minimum processor time of several runs, in seconds."""
    best = float("inf")
    for _ in range(repeats):
        gc.collect()
        started_at = time.process_time()
        action()
        best = min(best, time.process_time() - started_at)
    return best


def cpu_per_call_s(action: Callable[[], Any], calls: int) -> float:
    """Returns the mean processor time per call over many calls."""

    def run() -> None:
        for _ in range(calls):
            action()

    return cpu_s(run) / calls


def memory_bytes(make: Callable[[], Any]) -> int:
    """Returns the bytes allocated by `make` and still held by its result."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def calibration_s() -> float:
    """Returns the time of a fixed loop, for comparing machines."""

    def loop() -> int:
        total = 0
        for number in range(CALIBRATION_LOOPS):
            total = (total + number * 7) & 0xFFFF
        return total

    return cpu_s(loop)
