"""Signals to real processes, from the first moments of their start on."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from tests import test_direct_review_stopped as one_instance

GUARD_S = 30.0
# Between the signals to one process; a start takes many times as long.
GAP_S = 0.005
HANGUP_BIT = 1 << (signal.SIGHUP - 1)
# When the first signal comes after the first line was reached.
MOMENTS_S = (0.0, 0.03, 0.06, 0.1, 0.15, 0.2, 0.3, 0.45)

# Runs a program until it holds its signals; tells what it has imported so far.
FIRST_LINES = """
import _signal, pathlib, sys

def stop(how, signals):
    print(how == _signal.SIG_BLOCK, sorted(map(int, signals)), flush=True)
    print(sorted(set(sys.modules) - known), flush=True)
    raise SystemExit(0)

_signal.pthread_sigmask = stop
program = compile(pathlib.Path(sys.argv[1]).read_bytes(), sys.argv[1], "exec")
known = set(sys.modules)
exec(program, {"__name__": "__main__", "__file__": sys.argv[1]})
"""


def held_signals(pid: int) -> int:
    """Returns the mask of the signals that a process holds."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in text.splitlines():
        if line.startswith("SigBlk:"):
            return int(line.split()[1], 16)
    return 0


class StartingInstanceTest(unittest.TestCase):
    """An instance of direct service gets signals while it starts."""

    def setUp(self) -> None:
        self.store = one_instance.Store()
        self.addCleanup(self.store.listener.close)
        self.store.put("op/config", one_instance.make_config(1, "old"))
        first = one_instance.find_ports()
        ports = (first, first + 1, first + 2, first + 3, self.store.port)
        self.ready_port = first + 3
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.log = pathlib.Path(folder, "log")
        self.settings = pathlib.Path(folder, "settings.toml")
        self.text = one_instance.SETTINGS.format(*ports)
        self.settings.write_text(self.text, encoding="utf-8")

    def start(self) -> subprocess.Popen:
        """Starts the instance; returns once it runs its first line."""
        with self.log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, str(one_instance.PROGRAM)],
                env={**os.environ, "CUMINWALL_CONFIG": str(self.settings)},
                stdout=output,
                stderr=output,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        end = time.monotonic() + GUARD_S
        while not held_signals(process.pid) & HANGUP_BIT:
            if self.has_started() or time.monotonic() > end:
                self.fail("the instance never holds SIGHUP while it starts")
            time.sleep(0.0005)
        return process

    def has_started(self) -> bool:
        """Returns whether the instance has told that it starts to serve."""
        return '"start"' in self.log.read_text(encoding="utf-8")

    def wait(self, process: subprocess.Popen, word: str) -> None:
        """Waits until the log has a word."""
        end = time.monotonic() + GUARD_S
        while time.monotonic() < end and process.poll() is None:
            if word in self.log.read_text(encoding="utf-8"):
                return
            time.sleep(0.01)
        text = self.log.read_text(encoding="utf-8")
        self.fail(f"ended with {process.poll()}: {text}")

    # review/10: SIGHUP ended an instance until its event loop ran.
    def test_sighup_at_any_moment_of_the_start(self) -> None:
        for moment_s in MOMENTS_S:
            with self.subTest(moment_s=moment_s):
                process = self.start()
                time.sleep(moment_s)
                process.send_signal(signal.SIGHUP)
                self.wait(process, '"reload"')
                process.kill()
                process.wait()

    # The same, for one after the other until it serves.
    def test_many_of_sighup_during_the_start(self) -> None:
        process = self.start()
        while not self.has_started() and process.poll() is None:
            process.send_signal(signal.SIGHUP)
            time.sleep(GAP_S)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(GUARD_S), 0)

    # A change of the settings between their reading and the handlers is seen.
    def test_settings_that_change_while_signals_are_held(self) -> None:
        process = self.start()
        text = self.text.replace("ConfigApplyMs = 3000", "ConfigApplyMs = 2900")
        self.settings.write_text(text, encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        self.wait(process, '"reload"')
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(GUARD_S), 0)

    # SIGTERM ended an instance that was starting with -15 in place of 0.
    def test_sigterm_at_any_moment_of_the_start(self) -> None:
        for moment_s in MOMENTS_S[::2]:
            with self.subTest(moment_s=moment_s):
                process = self.start()
                time.sleep(moment_s)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(GUARD_S), 0)
                log = self.log.read_text(encoding="utf-8")
                self.assertIn('"stop"', log)

    # Each import before that would make the moment longer in which it can end.
    def test_signals_are_held_before_any_import(self) -> None:
        answer = subprocess.run(
            [
                sys.executable,
                "-S",
                "-c",
                FIRST_LINES,
                str(one_instance.PROGRAM),
            ],
            capture_output=True,
            text=True,
            timeout=GUARD_S,
            check=True,
        )
        held, imported = answer.stdout.splitlines()
        self.assertEqual(held, "True [1, 2, 15]")
        self.assertEqual(imported, "[]")

    # Read half written, settings that are in order ended the start.
    def test_settings_that_are_being_written_at_the_start(self) -> None:
        data = self.text.encode()
        self.settings.write_bytes(data[: len(data) // 2])
        process = self.start()
        time.sleep(0.6)
        self.settings.write_bytes(data)
        self.wait(process, '"start"')

    # ... and at SIGHUP they were not read again, so that the old ones stayed;
    # one cut within a character was not even logged.
    def test_settings_that_are_being_written_at_sighup(self) -> None:
        process = self.start()
        self.wait(process, '"start"')
        self.settings.write_bytes("NodeName = 'é".encode()[:-1])
        process.send_signal(signal.SIGHUP)
        self.wait(process, '"reload_failed"')
        text = self.text.replace("ConfigApplyMs = 3000", "ConfigApplyMs = 2900")
        self.settings.write_text(text, encoding="utf-8")
        self.wait(process, '"changed": ["limits"]')

    # ... nor when what had been written by then was in order by itself.
    def test_settings_whose_end_is_written_after_sighup(self) -> None:
        process = self.start()
        self.wait(process, '"start"')
        process.send_signal(signal.SIGHUP)
        self.wait(process, '"reload"')
        text = self.text.replace("ConfigApplyMs = 3000", "ConfigApplyMs = 2900")
        self.settings.write_text(text, encoding="utf-8")
        self.wait(process, '"changed": ["limits"]')

    def test_settings_that_stay_wrong_end_the_start(self) -> None:
        self.settings.write_text("NodeName = 5", encoding="utf-8")
        process = self.start()
        self.assertEqual(process.wait(GUARD_S), 2)


class StartingDaemonTest(unittest.TestCase):
    """A daemon of the PostgreSQL path gets SIGHUP, which it does not need."""

    def start(self) -> tuple[subprocess.Popen, pathlib.Path]:
        """Starts a daemon without a platform; returns it and its log."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        any_port = {"host": "127.0.0.1", "port": 0}
        settings = {
            "instance": "a",
            "zone": "z",
            "listen": any_port,
            "peers": {**any_port, "secret": "secret of the test"},
            "http": any_port,
            "platform": {"endpoint": "http://127.0.0.1:1"},
        }
        path = folder / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        log = folder / "log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "cuminwall.daemon_start",
                    f"--settings={path}",
                ],
                stdout=output,
                stderr=output,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, log

    # Ended the daemon at any moment, also while it served.
    def test_sighup_from_the_start_on(self) -> None:
        process, log = self.start()
        end = time.monotonic() + GUARD_S
        while not held_signals(process.pid) & HANGUP_BIT:
            self.assertIsNone(process.poll())
            self.assertLess(time.monotonic(), end)
            time.sleep(0.0005)
        text = ""
        while "accepts callers" not in text and time.monotonic() < end:
            process.send_signal(signal.SIGHUP)
            time.sleep(GAP_S)
            text = log.read_text(encoding="utf-8")
            self.assertIsNone(process.poll(), text)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
        self.assertIsNone(process.poll())
        text = log.read_text(encoding="utf-8")
        self.assertIn("take effect at the next start", text)


if __name__ == "__main__":
    unittest.main()
