"""Tests of startup parameters and the SCRAM exchange."""

import struct
import unittest

import hypothesis
import scramp
from hypothesis import strategies as st
from loguru import logger

from cuminwall import exceptions, logins, outcomes, wire, work
from tests import fake_service

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)
SECRET = b"secret of the fleet"


def setUpModule():  # noqa: N802
    logger.disable("cuminwall")


def tearDownModule():  # noqa: N802
    logger.enable("cuminwall")


def first_message(text, mechanism=logins.MECHANISM):
    data = text.encode()
    head = wire.cstring(mechanism) + struct.pack("!i", len(data))
    return head + data


def body_of(answer):
    """Returns the SASL data of an authentication message."""
    return answer[9:].decode()


def exchange_with(key, exchange, empty_name=True):
    """Runs an exchange with `key` and returns the last answer."""
    client = scramp.ScramClient([logins.MECHANISM], "someone", key)
    first = client.get_client_first()
    if empty_name:
        # libpq sends an empty name.
        first = first.replace("n=someone", "n=")
        client.client_first_bare = first.split(",", 2)[2]
    answer = exchange.receive(first_message(first))
    client.set_server_first(body_of(answer))
    final = client.get_client_final()
    answer = exchange.receive(final.encode())
    if isinstance(answer, bytes):
        client.set_server_final(body_of(answer))
    return answer


class ScramTest(unittest.TestCase):
    """Only the right key is accepted."""

    def setUp(self):
        verifier = logins.parse_verifier(fake_service.VERIFIER)
        self.exchange = logins.ScramExchange(verifier)

    def test_right_key(self):
        for empty_name in (True, False):
            self.setUp()
            exchange_with(fake_service.KEY, self.exchange, empty_name)
            self.assertTrue(self.exchange.authenticated)

    def test_wrong_key(self):
        answer = exchange_with("other", self.exchange)
        self.assertIs(answer, outcomes.KEY_REFUSED)
        self.assertFalse(self.exchange.authenticated)

    def test_mock_verifier_matches_no_key(self):
        verifier = logins.make_mock_verifier(SECRET, "x")
        exchange = logins.ScramExchange(verifier)
        answer = exchange_with(fake_service.KEY, exchange)
        self.assertIs(answer, outcomes.KEY_REFUSED)

    def test_other_mechanisms_are_refused(self):
        payload = first_message("n,,n=,r=abc", "SCRAM-SHA-256-PLUS")
        self.assertIs(self.exchange.receive(payload), outcomes.KEY_REFUSED)

    @SETTINGS
    @hypothesis.given(
        st.one_of(
            st.binary(max_size=60),
            st.text(st.sampled_from("n,=ra1yp"), max_size=30).map(
                first_message
            ),
        ),
        st.binary(max_size=60),
    )
    def test_malformed_messages_do_not_authenticate(self, first, final):
        self.setUp()
        try:
            answers = [self.exchange.receive(first)]
            if isinstance(answers[0], bytes):
                answers.append(self.exchange.receive(final))
        except exceptions.ProtocolError:
            answers = []
        self.assertFalse(self.exchange.authenticated)


class VerifierTest(unittest.TestCase):
    """Verifiers, and the mock ones for unknown keys."""

    def test_malformed_text(self):
        good = fake_service.VERIFIER
        for text in (
            "",
            "md5abc",
            good.replace("$", "x"),
            good + "$",
            good[1:],
        ):
            self.assertIsNone(logins.parse_verifier(text))

    def test_unknown_and_withdrawn_keys_look_alike(self):
        port = fake_service.FakeService()
        port.find_key = {
            "unknown": outcomes.KEY_REFUSED,
            "withdrawn": outcomes.KEY_WITHDRAWN,
        }.get
        for key_id in ("unknown", "withdrawn"):
            verifier = logins.find_verifier(port, key_id, SECRET)
            known = logins.parse_verifier(fake_service.VERIFIER)
            self.assertEqual(len(verifier.salt), len(known.salt))
            self.assertEqual(verifier.iterations, known.iterations)
            again = logins.find_verifier(port, key_id, SECRET)
            self.assertEqual(verifier, again)

    def test_a_malformed_verifier_admits_nobody(self):
        port = fake_service.FakeService()
        port.keys["x"] = work.KeyEntry("trust", "malformed")
        verifier = logins.find_verifier(port, "x", SECRET)
        self.assertEqual(verifier, logins.make_mock_verifier(SECRET, "x"))

    def test_other_failures_are_returned(self):
        port = fake_service.FakeService()
        port.find_key = lambda key_id: outcomes.KEYS_NOT_CURRENT
        found = logins.find_verifier(port, "x", SECRET)
        self.assertIs(found, outcomes.KEYS_NOT_CURRENT)


class StartupTest(unittest.TestCase):
    """Parsing of startup parameters."""

    def test_parameters(self):
        caller = logins.parse_startup_request(
            {
                "user": "k",
                "database": "d",
                "options": "-c cuminwall.session=t --search-path=a\\ b",
                "application_name": "n",
                "cuminwall.max_age": "2s",
                "client_encoding": "'utf-8'",
                "DateStyle": "ISO, MDY",
                "TimeZone": "Europe/Bucharest",
                "_pq_.new": "1",
            }
        )
        self.assertEqual(
            caller,
            logins.Caller(
                user="k",
                service="d",
                token="t",
                max_age_s=2.0,
                application_name="n",
                settings={
                    "search_path": "a b",
                    "datestyle": "ISO, MDY",
                    "timezone": "Europe/Bucharest",
                },
                extensions=("_pq_.new",),
            ),
        )

    def test_refusals(self):
        cases = {
            ("options", "-x"): outcomes.BAD_SETTING,
            ("options", "-c a"): outcomes.BAD_SETTING,
            ("options", "-c role=x"): outcomes.NOT_CARRIED,
            ("replication", "database"): outcomes.NOT_CARRIED,
            ("client_encoding", "LATIN1"): outcomes.ENCODING_NOT_CARRIED,
            ("cuminwall.max_age", "x"): outcomes.BAD_SETTING,
            ("standard_conforming_strings", "off"): outcomes.NOT_CARRIED,
        }
        for (name, value), failure in cases.items():
            with self.subTest(name=name, value=value):
                refusal = logins.parse_startup_request(
                    {"user": "k", name: value}
                )
                self.assertIs(refusal.failure, failure)

    @SETTINGS
    @hypothesis.given(st.binary(max_size=60))
    def test_any_packet_is_answered(self, payload):
        try:
            parameters = wire.parse_startup_parameters(payload)
        except exceptions.ProtocolError:
            return
        found = logins.parse_startup_request(parameters)
        self.assertIsInstance(found, logins.Caller | outcomes.Refusal)


if __name__ == "__main__":
    unittest.main()
