"""Creates keys: a secret for the caller and a verifier for the document.

Only the verifier is stored. The secret is random, so it can't be guessed from
a leaked verifier.
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
    """A newly created key.

    Attributes:
      key_id: Its id, which the caller gives as its user name.
      secret: Its secret, which the caller gives as its password.
      verifier: Its SCRAM verifier, which the document stores.
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
    random_part = entropy[SALT_BYTES:]
    secret = (
        base64.urlsafe_b64encode(random_part[:SECRET_BYTES])
        .decode()
        .rstrip("=")
    )
    suffix = random_part[SECRET_BYTES:ENTROPY_BYTES].hex()
    prefix = workspace[: MAX_NAME_CHARS - len(suffix) - 1]
    return NewKey(f"{prefix}-{suffix}", secret, make_verifier(secret, salt))


def make_verifier(secret: str, salt: bytes) -> str:
    """Returns the verifier of a secret in PostgreSQL's text form."""
    mechanism = scramp.ScramMechanism(MECHANISM)
    _, stored_key, server_key, iterations = mechanism.make_auth_info(
        secret, iteration_count=ITERATIONS, salt=salt
    )
    salt_text = _to_base64(salt)
    keys_text = f"{_to_base64(stored_key)}:{_to_base64(server_key)}"
    return f"{MECHANISM}${iterations}:{salt_text}${keys_text}"


def _to_base64(value: bytes) -> str:
    """Returns bytes as base64 text."""
    return base64.b64encode(value).decode()
