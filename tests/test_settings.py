"""Tests of the daemon's settings and their page."""

import json
import pathlib
import unittest

from cuminwall import settings, settingspage, settingstable
from cuminwall.faults import format_path

PAGE = (
    pathlib.Path(__file__).resolve().parent.parent
    / "docs"
    / "operators"
    / "settings.md"
)
LEAST = """{
  // the least that a file must hold
  "zone": "sediu",
  "peers": {"host": "127.0.0.1", "secret": "s"},
  "platform": {"endpoint": "http://127.0.0.1:1"},
}"""


def read(**changes):
    """Returns the settings of the least file with some sections changed."""
    value = {
        "zone": "sediu",
        "peers": {"host": "127.0.0.1", "secret": "s"},
        "platform": {"endpoint": "http://127.0.0.1:1"},
    }
    return settings.read(json.dumps({**value, **changes}), b"entropy")


def places(found) -> list[str]:
    """Returns the places of the faults."""
    return [format_path(fault.path) for fault in found]


class ReadTest(unittest.TestCase):
    """Reading a file, and the faults it may hold."""

    def test_minimal_file_gets_every_default(self):
        found = settings.read(LEAST, b"entropy")
        self.assertIsInstance(found, settings.Settings)
        self.assertEqual(found.peers, settings.Peers("127.0.0.1", 7432, "s"))
        for row in settingstable.TABLE:
            section = getattr(found, row.section) if row.section else found
            value = getattr(section, row.name)
            self.assertIs(type(value), row.kind, row)
            if row.default is not None and row.name != "instance":
                self.assertEqual(value, row.default)

    def test_instance_id_comes_from_entropy_unless_set(self):
        first = settings.read(LEAST, b"one").instance
        self.assertEqual(first, settings.read(LEAST, b"one").instance)
        self.assertNotEqual(first, settings.read(LEAST, b"two").instance)
        self.assertEqual(read(instance="x").instance, "x")

    def test_all_faults_come_at_once(self):
        found = settings.read(
            """{"zone": "Bad Zone", "listen": {"port": 70000, "tls": 1},
            "log": {"format": "xml"}, "color": "red",
            "timings": {"probe_interval_s": "fast"},
            "credentials": {"billing": {"token": "x"}}}""",
            b"",
        )
        self.assertEqual(
            places(found),
            [
                "color",
                "credentials.billing.token",
                "listen.port",
                "listen.tls",
                "log.format",
                "peers.host",
                "peers.secret",
                "platform.endpoint",
                "timings.probe_interval_s",
                "zone",
            ],
        )
        self.assertIn("one of", found[4].expected)

    def test_faults_between_settings(self):
        found = read(
            listen={"tls_cert": "cert.pem"},
            credentials={"billing": {"password": "a", "password_env": "B"}},
            timings={
                "write_lease_s": 0.5,
                "fresh_s": 0.5,
            },
        )
        self.assertEqual(
            places(found),
            [
                "credentials.billing.password_env",
                "listen.tls_key",
                "timings.fresh_s",
                "timings.write_lease_s",
            ],
        )

    def test_invalid_files(self):
        for text in ("", "[]", "1", "{", '{"peers": 1}', '{"zone": null}'):
            with self.subTest(text=text):
                self.assertIsInstance(settings.read(text, b""), list)

    def test_given_values_are_used(self):
        found = read(
            http={"port": 0},
            timings={"write_lease_s": 3},
            credentials={"billing": {"password_env": "P"}},
        )
        self.assertEqual(found.http.port, 0)
        self.assertEqual(found.timings.write_lease_s, 3.0)
        self.assertEqual(
            found.credentials["billing"], settings.Credentials("", "", "P")
        )


class PageTest(unittest.TestCase):
    """The page and the table agree."""

    def test_page_is_generated_from_the_table(self):
        self.assertEqual(PAGE.read_text(), settingspage.write())

    def test_example_on_the_page_is_accepted(self):
        text = settingspage.INTRODUCTION.partition("```json\n")[2]
        found = settings.read(text.partition("```")[0], b"")
        self.assertIsInstance(found, settings.Settings)

    def test_each_default_is_within_its_bounds(self):
        for row in settingstable.TABLE:
            if row.kind is str:
                continue
            with self.subTest(name=row.name):
                self.assertLessEqual(row.minimum, row.default)
                self.assertLessEqual(row.default, row.maximum)


if __name__ == "__main__":
    unittest.main()
