"""Makes keys: the secret for the caller, the verifier for the document.

Only the verifier is kept. The secret is random, so a verifier that leaks does
not help to find it.
"""

import base64
from typing import NamedTuple

import scramp

MECHANISM = "SCRAM-SHA-256"
ITERATIONS = 4096
SALT_BYTES = 16
SECRET_BYTES = 32
SUFFIX_BYTES = 4
ENTROPY_BYTES = SALT_BYTES + SECRET_BYTES + SUFFIX_BYTES
MAX_NAME_CHARS = 63


class NewKey(NamedTuple):
    """A key that was just made.

    Attributes:
      key_id: Its id, which the caller gives as its user name.
      secret: Its secret, which the caller gives as its password.
      verifier: What the document keeps of it.
    """

    key_id: str
    secret: str
    verifier: str


def create(workspace: str, entropy: bytes) -> NewKey:
    """Returns a new key for a workspace.

    Args:
      workspace: The name of the workspace.
      entropy: `ENTROPY_BYTES` random bytes.
    """
    salt = entropy[:SALT_BYTES]
    rest = entropy[SALT_BYTES:]
    secret = base64.urlsafe_b64encode(rest[:SECRET_BYTES]).decode().rstrip("=")
    suffix = rest[SECRET_BYTES:ENTROPY_BYTES].hex()
    stem = workspace[: MAX_NAME_CHARS - len(suffix) - 1]
    return NewKey(f"{stem}-{suffix}", secret, make_verifier(secret, salt))


def make_verifier(secret: str, salt: bytes) -> str:
    """Returns the verifier of a secret in PostgreSQL's text form."""
    mechanism = scramp.ScramMechanism(MECHANISM)
    _, stored_key, server_key, iterations = mechanism.make_auth_info(
        secret, iteration_count=ITERATIONS, salt=salt
    )
    salt_text = _to_text(salt)
    keys_text = f"{_to_text(stored_key)}:{_to_text(server_key)}"
    return f"{MECHANISM}${iterations}:{salt_text}${keys_text}"


def _to_text(value: bytes) -> str:
    """Returns bytes in base64."""
    return base64.b64encode(value).decode()
