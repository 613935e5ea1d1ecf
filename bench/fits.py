"""Timing, memory and straight-line fits for the capacity measurements."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

CALIBRATION_LOOPS = 200_000
REPEATS = 6
CONSTANT = 1e-12


class Slope(NamedTuple):
    """A straight line through measured points.

    Attributes:
      name: What was measured.
      unit: The unit of the values.
      per: What the sizes count.
      sizes: The sizes that were measured at.
      values: The value at each size.
      slope: The value that one more of `per` adds.
      intercept: The value at size 0.
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
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = 0.0
    for size, value in points:
        slope += (size - mean_size) * (value - mean_value) / spread
    intercept = mean_value - slope * mean_size
    total = sum((value - mean_value) ** 2 for value in values)
    rest = 0.0
    for size, value in points:
        rest += (value - intercept - slope * size) ** 2
    # A constant leaves nothing to be explained but rounding.
    is_constant = total <= CONSTANT * max(1.0, mean_value**2)
    r_squared = 1.0 if is_constant else 1.0 - rest / total
    return Slope(name, unit, per, sizes, values, slope, intercept, r_squared)


def cpu_s(action: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Returns the least processor time of several runs, in seconds."""
    best = float("inf")
    for _ in range(repeats):
        gc.collect()
        began = time.process_time()
        action()
        best = min(best, time.process_time() - began)
    return best


def cpu_per_call_s(action: Callable[[], Any], calls: int) -> float:
    """Returns the processor time of one of many calls, in seconds."""

    def run() -> None:
        for _ in range(calls):
            action()

    return cpu_s(run) / calls


def memory_bytes(make: Callable[[], Any]) -> int:
    """Returns the bytes that live on in what `make` returns."""
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
    """Returns the time of a fixed loop, to compare machines by."""

    def loop() -> int:
        total = 0
        for number in range(CALIBRATION_LOOPS):
            total = (total + number * 7) & 0xFFFF
        return total

    return cpu_s(loop)
