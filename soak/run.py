"""Command line: runs a scenario once and prints its report.

Example: python -m soak.run --scenario=kill_coordinator --seed=1
"""

import asyncio
import os
import pathlib
import subprocess
import sys
import tempfile

import uvloop
from absl import app, flags

from soak import daemons, plans, report, site

SCENARIO = flags.DEFINE_enum(
    "scenario", "random", plans.SCENARIOS, "What goes wrong."
)
SEED = flags.DEFINE_integer("seed", 1, "Of all choices.")
INSTANCES = flags.DEFINE_integer("instances", 73, "How many instances.")
SESSIONS = flags.DEFINE_integer("sessions", 2000, "Open sessions.")
PER_S = flags.DEFINE_float("per_s", 600.0, "Operations a second.")
RATE_FACTOR = flags.DEFINE_float(
    "rate_factor", 1.6, "Rate of each workspace over its usual traffic."
)
SECONDS = flags.DEFINE_float("seconds", 50.0, "How long callers send.")
PROCESSES = flags.DEFINE_integer("processes", 2, "Processes of callers.")
TREE = flags.DEFINE_string("tree", str(site.ROOT), "Tree of the instances.")
OUT = flags.DEFINE_string("out", "", "Folder of logs and report.")
FIRST_PORT = flags.DEFINE_integer(
    "first_port", daemons.FIRST_PORT, "Where to look for free ports."
)

LINK_MBPS = flags.DEFINE_float(
    "link_mbps", 0.0, "Of each instance's link to the store, in Mbit/s."
)


def main(argv: list[str]) -> None:
    """Runs the scenario; exits with 1 if a rule was broken."""
    del argv
    os.environ["UV_USE_IO_URING"] = "0"
    folder = pathlib.Path(OUT.value or tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    options = site.Options(
        SEED.value,
        SCENARIO.value,
        INSTANCES.value,
        SESSIONS.value,
        PER_S.value,
        RATE_FACTOR.value,
        SECONDS.value,
        PROCESSES.value,
        pathlib.Path(TREE.value).resolve(),
        folder,
        FIRST_PORT.value,
        LINK_MBPS.value,
    )
    before = os.getloadavg()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result = runner.run(site.Site(options).run())
    lines = [
        f"commit: {_read_commit(options.tree)}",
        f"load average before {before}, after {os.getloadavg()}",
        *report.make(options, result),
    ]
    text = "\n".join(lines) + "\n"
    (folder / "report.txt").write_text(text, encoding="utf-8")
    print(text)
    is_broken = any(each.is_in_touch for each in result.checks.cases)
    is_broken = is_broken or bool(result.statement_cases)
    sys.exit(1 if is_broken else 0)


def _read_commit(tree: pathlib.Path) -> str:
    """Returns the commit of a source tree."""
    done = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=tree,
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip()


if __name__ == "__main__":
    app.run(main)
