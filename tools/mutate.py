"""Mutation testing: breaks one line at a time and runs the test that covers it.

Each mutation is applied to a copy of the sources in a temporary folder. Prints
one line for each and exits with 1 unless every mutation was caught. A mutation
of a rule that the soak judges is tried by the soak, with one seed after the
other, instead of a test.
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
SOAK_SEEDS = range(1, 11)
SOAK_TIMEOUT_S = 100
SOAK_FLAGS = (
    "--instances=4",
    "--seconds=20",
    "--sessions=80",
    "--per_s=120",
    "--processes=1",
)
SOAK_FIRST_PORT = 28_000
SOAK_PORTS = 40  # Of one run.


class Mutation(NamedTuple):
    """One mutation that a test must catch.

    Attributes:
      name: What the mutation breaks.
      module: The file under src/cuminwall; for the soak, under the root.
      before: The original line or part of it, which must occur exactly once.
      after: Its replacement.
      test: The dotted name of the test that must fail; "" for the soak.
      soak: The scenario of the soak that must find a case; "" for a test.
      rule: The rule that the case must break; "" for a test.
    """

    name: str
    module: str
    before: str
    after: str
    test: str = ""
    soak: str = ""
    rule: str = ""


def load() -> list[Mutation]:
    """Returns the list of mutations."""
    return [Mutation(**item) for item in json.loads(LIST.read_text())]


def try_one(mutation: Mutation) -> str:
    """Returns "caught", "survived" or why the mutation could not be tested."""
    with tempfile.TemporaryDirectory(prefix="cuminwall-mutation-") as folder:
        copy = pathlib.Path(folder)
        for name in ("src", "platform", "soak", "tests", "bench", "tools"):
            shutil.copytree(ROOT / name, copy / name)
        shutil.copytree(ROOT / "docs", copy / "docs")
        base = copy if mutation.soak else copy / "src" / "cuminwall"
        path = base / mutation.module
        text = path.read_text(encoding="utf-8")
        if text.count(mutation.before) != 1:
            return f"stale: found {text.count(mutation.before)} times"
        path.write_text(text.replace(mutation.before, mutation.after))
        if mutation.soak:
            return try_by_soak(mutation, copy)
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


def try_by_soak(mutation: Mutation, copy: pathlib.Path) -> str:
    """Returns "caught" with the seed, "survived" or why no run was whole."""
    slot = load().index(mutation)
    for seed in SOAK_SEEDS:
        out = copy / f"soak-{seed}"
        try:
            run = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "soak.run",
                    f"--scenario={mutation.soak}",
                    f"--seed={seed}",
                    f"--out={out}",
                    f"--first_port={SOAK_FIRST_PORT + SOAK_PORTS * slot}",
                    *SOAK_FLAGS,
                ],
                cwd=copy,
                env={
                    **os.environ,
                    "PYTHONPATH": f"{copy / 'src'}:{copy}:{copy / 'platform'}",
                },
                capture_output=True,
                timeout=SOAK_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return f"error: the soak with seed {seed} did not end"
        report = out / "report.txt"
        if not report.exists():
            return f"error: no report with seed {seed}: {run.stderr[-200:]!r}"
        cases = count_cases(report.read_text(encoding="utf-8"), mutation.rule)
        if cases:
            return f"caught by seed {seed}, {cases} cases"
    return "survived"


def count_cases(report: str, rule: str) -> int:
    """Returns how many cases of a rule a report of the soak tells."""
    prefix = f"{rule} cases: "
    for line in report.splitlines():
        if line.startswith(prefix):
            return int(line.removeprefix(prefix))
    return 0


def main(names: list[str]) -> int:
    """Tries the named mutations, or all; returns the exit code."""
    chosen = [m for m in load() if not names or m.name in names]
    uncaught = 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        for mutation, result in zip(
            chosen, pool.map(try_one, chosen), strict=True
        ):
            judge = mutation.test or f"{mutation.rule} in the soak"
            print(f"{result:10} {mutation.name}: {judge}", flush=True)
            uncaught += not result.startswith("caught")
    print(f"{len(chosen) - uncaught} of {len(chosen)} caught")
    return 1 if uncaught else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
