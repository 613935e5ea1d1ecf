"""Mutation testing: breaks one line at a time and runs the test that covers it.

Each mutation is applied to a copy of the sources in a temporary folder. Prints
one line for each and exits with 1 unless every mutation was caught.
"""

import concurrent.futures
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
LIST = ROOT / "tools" / "mutations.json"
PARALLEL = 3
TIMEOUT_S = 400


class Mutation(NamedTuple):
    """One mutation that a test must catch.

    Attributes:
      name: What the mutation breaks.
      module: The file under src/cuminwall.
      before: The original line or part of it, which must occur exactly once.
      after: Its replacement.
      test: The dotted name of the test that must fail.
    """

    name: str
    module: str
    before: str
    after: str
    test: str


def load() -> list[Mutation]:
    """Returns the list of mutations."""
    return [Mutation(**item) for item in json.loads(LIST.read_text())]


def try_one(mutation: Mutation) -> str:
    """Returns "caught", "survived" or why the mutation could not be tested."""
    with tempfile.TemporaryDirectory(prefix="cuminwall-mutation-") as folder:
        copy = pathlib.Path(folder)
        for name in ("src", "tests", "bench", "tools", "docs"):
            shutil.copytree(ROOT / name, copy / name)
        path = copy / "src" / "cuminwall" / mutation.module
        text = path.read_text(encoding="utf-8")
        if text.count(mutation.before) != 1:
            return f"stale: found {text.count(mutation.before)} times"
        path.write_text(text.replace(mutation.before, mutation.after))
        run = subprocess.run(
            [sys.executable, "-m", "unittest", mutation.test],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": f"{copy / 'src'}:{copy}"},
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        if run.returncode == 0:
            return "survived"
        if b"FAILED" not in run.stderr:
            return "error: the test did not run"
        return "caught"


def main(names: list[str]) -> int:
    """Tries the named mutations, or all; returns the exit code."""
    chosen = [m for m in load() if not names or m.name in names]
    uncaught = 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        for mutation, result in zip(
            chosen, pool.map(try_one, chosen), strict=True
        ):
            print(f"{result:10} {mutation.name}: {mutation.test}", flush=True)
            uncaught += result != "caught"
    print(f"{len(chosen) - uncaught} of {len(chosen)} caught")
    return 1 if uncaught else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
