"""Runs every test and prints a summary line at the end.

A test named in KNOWN-RED.txt may fail without failing the run; it is printed.
"""

import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


def read_known_red(text: str) -> dict[str, str]:
    """Returns the description of each entry by the dotted name of its test."""
    entries: dict[str, str] = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        name, _, description = line.partition("|")
        entries[name.strip()] = description.strip()
    return entries


def _failed_names(result: unittest.TestResult) -> list[str]:
    """Returns the dotted names of the tests that did not pass."""
    names = []
    for test, _ in [*result.failures, *result.errors]:
        # Failed subtests count once, under the test that contains them.
        parent = getattr(test, "test_case", test)
        if parent.id() not in names:
            names.append(parent.id())
    for test in result.unexpectedSuccesses:
        names.append(test.id())
    return names


def main() -> int:
    """Runs the tests and returns the exit code of the run."""
    sys.path.insert(0, str(ROOT))
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = read_known_red(KNOWN_RED_FILE.read_text(encoding="utf-8"))
    failed = _failed_names(result)
    known_red = [name for name in failed if name in known]
    for name in known_red:
        print(f"known red: {name} | {known[name]}")
    new = [name for name in failed if name not in known]
    passed = result.testsRun - len(failed) - len(result.skipped)
    line = f"{passed} passed, {len(new)} failed"
    if result.skipped:
        line += f", {len(result.skipped)} skipped"
    print(line, flush=True)
    return 1 if new or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
