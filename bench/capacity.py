"""Measures the slopes and computes docs/CAPACITY.md from them.

Run by `make capacity`. With `--page_only` the page is computed from the
slopes that were measured last.
"""

import importlib
import json
import pathlib
import sys
import time
from typing import Any

from absl import app, flags

from bench import capacity_page, fits

ROOT = pathlib.Path(__file__).resolve().parent.parent
SLOPES = ROOT / "docs" / "capacity-slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
MODULES = (
    "bench.slopes_membership",
    "bench.slopes_leases",
    "bench.slopes_stewards",
    "bench.slopes_relays",
    "bench.slopes_configuration",
    "bench.slopes_sessions",
    "bench.slopes_store",
    "bench.slopes_changes",
)
SIGNIFICANT_DIGITS = 5

_PAGE_ONLY = flags.DEFINE_bool(
    "page_only",
    False,
    "Compute the page from the slopes that were measured last.",
)


def measure() -> dict[str, Any]:
    """Measures every slope and the calibration loop, as written to SLOPES."""
    began = time.monotonic()
    measurement = {"calibration_s": _round(fits.calibration_s()), "slopes": {}}
    slopes: dict[str, Any] = measurement["slopes"]
    for name in MODULES:
        print(f"{name} ...", file=sys.stderr, flush=True)
        for slope in importlib.import_module(name).measure():
            fields = slope._asdict()
            del fields["name"]
            slopes[slope.name] = {
                key: _round(value) for key, value in fields.items()
            }
    measurement["took_s"] = round(time.monotonic() - began)
    return measurement


def _round(value: Any) -> Any:
    """Returns a value with its floats rounded to SIGNIFICANT_DIGITS."""
    if isinstance(value, float):
        return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
    if isinstance(value, tuple):
        return [_round(item) for item in value]
    return value


def read_slopes(measurement: dict[str, Any]) -> dict[str, fits.Slope]:
    """Returns the slopes of a stored measurement, by name."""
    return {
        name: fits.Slope(name, **fields)
        for name, fields in measurement["slopes"].items()
    }


def main(argv: list[str]) -> int:
    """Measures unless told not to, and updates the page."""
    del argv
    if not _PAGE_ONLY.value:
        text = json.dumps(measure(), indent=1)
        SLOPES.write_text(text + "\n", encoding="utf-8")
    measurement = json.loads(SLOPES.read_text(encoding="utf-8"))
    tables = capacity_page.make_tables(
        read_slopes(measurement), measurement["calibration_s"]
    )
    page = capacity_page.replace_tables(
        PAGE.read_text(encoding="utf-8"), tables
    )
    PAGE.write_text(page, encoding="utf-8")
    print(tables["slopes"])
    return 0


if __name__ == "__main__":
    app.run(main)
