"""A process of callers: runs a plan and writes what they saw to a file."""

import asyncio
import json
import os
import pathlib

import uvloop
from absl import app, flags

from soak import callers

PLAN = flags.DEFINE_string("plan", None, "File of the plan.", required=True)
OUT = flags.DEFINE_string("out", None, "File of the results.", required=True)


def main(argv: list[str]) -> None:
    """Runs the callers of a plan."""
    del argv
    os.environ["UV_USE_IO_URING"] = "0"
    text = pathlib.Path(PLAN.value).read_text(encoding="utf-8")
    group = callers.Callers(json.loads(text))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(group.run())
    report = json.dumps(group.report())
    pathlib.Path(OUT.value).write_text(report, encoding="utf-8")


if __name__ == "__main__":
    app.run(main)
