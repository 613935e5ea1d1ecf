"""Tests of the creation of keys."""

import base64
import hashlib
import hmac
import re
import unittest

import scramp

from cuminwall import document, keys
from tests.documents import sample

# From the documentation of SCRAM-SHA-256, RFC 7677, section 3.
RFC_SALT = base64.b64decode("W22ZaJ0SNY7soEsUEjb6gQ==")
RFC_SECRET = "pencil"


def naive_verifier(secret: str, salt: bytes) -> str:
    """Returns the verifier, computed as the RFC describes it."""
    salted = hashlib.pbkdf2_hmac("sha256", secret.encode(), salt, 4096)
    client = hmac.digest(salted, b"Client Key", "sha256")
    stored = base64.b64encode(hashlib.sha256(client).digest()).decode()
    server = hmac.digest(salted, b"Server Key", "sha256")
    server_text = base64.b64encode(server).decode()
    salt_text = base64.b64encode(salt).decode()
    return f"SCRAM-SHA-256$4096:{salt_text}${stored}:{server_text}"


def entropy(number: int) -> bytes:
    """Returns reproducible bytes that depend on `number`."""
    return hashlib.shake_256(bytes([number])).digest(keys.ENTROPY_BYTES)


class KeysTest(unittest.TestCase):
    """Keys, their secrets and their verifiers."""

    def test_verifier_equals_the_one_from_the_standard(self):
        for secret, salt in ((RFC_SECRET, RFC_SALT), ("x" * 43, b"s" * 16)):
            self.assertEqual(
                keys.make_verifier(secret, salt), naive_verifier(secret, salt)
            )

    def test_a_new_key_fits_the_document(self):
        value = sample()
        value["workspaces"]["w" * 63] = {"rate": 1, "burst": 1}
        for number in range(20):
            new = keys.create("w" * 63, entropy(number))
            value["keys"][new.key_id] = {
                "workspace": "w" * 63,
                "verifier": new.verifier,
            }
        self.assertIsInstance(document.check(value), dict)
        self.assertEqual(len(value["keys"]), 21)

    def test_secret_is_not_in_the_verifier_and_differs(self):
        first = keys.create("clerks", entropy(1))
        second = keys.create("clerks", entropy(2))
        self.assertNotEqual(first.secret, second.secret)
        self.assertNotIn(first.secret, first.verifier)
        self.assertGreaterEqual(len(first.secret), 43)

    def test_a_client_proves_the_key(self):
        new = keys.create("clerks", entropy(3))
        found = re.fullmatch(
            r"SCRAM-SHA-256\$(\d+):([^$]+)\$([^:]+):(.+)", new.verifier
        )
        iterations = int(found[1])
        salt, stored, server_key = map(base64.b64decode, found.groups()[1:])

        def login(secret: str) -> None:
            mechanism = scramp.ScramMechanism("SCRAM-SHA-256")
            server = mechanism.make_server(
                lambda name: (salt, stored, server_key, iterations)
            )
            client = scramp.ScramClient(["SCRAM-SHA-256"], "user", secret)
            server.set_client_first(client.get_client_first())
            client.set_server_first(server.get_server_first())
            server.set_client_final(client.get_client_final())
            client.set_server_final(server.get_server_final())

        login(new.secret)
        with self.assertRaises(scramp.ScramException):
            login(new.secret + "x")


if __name__ == "__main__":
    unittest.main()
