"""How a caller logs in: startup parameters and SCRAM-SHA-256.

The user name is the id of the key and the database name is the service. The
exchange for an unknown key id is the same as for a wrong key, so that callers
cannot find out which key ids exist.
"""

import base64
import binascii
import hashlib
import hmac
import struct
from typing import NamedTuple

import scramp
from loguru import logger

from cuminwall import (
    exceptions,
    outcomes,
    rounds,
    session_effects,
    settings_syntax,
    wire,
    work,
)

MECHANISM = "SCRAM-SHA-256"
OPEN_USER = "open"

AUTHENTICATION_OK = 0
AUTHENTICATION_SASL = 10
AUTHENTICATION_SASL_CONTINUE = 11
AUTHENTICATION_SASL_FINAL = 12

# Mock verifiers must look like those of real keys.
ITERATIONS = 4096
SALT_BYTES = 16

_SCHEME = "SCRAM-SHA-256"
_PROTOCOL_MAJOR = 3
_EXTENSION_PREFIX = "_pq_."
_CONNECTION_PARAMETERS = frozenset({"user", "database", "options"})
_OPTION_BLANKS = frozenset(" \t\n\v\f\r")
_FALSE_WORDS = frozenset({"", "off", "false", "no", "0", "f", "n"})


class Caller(NamedTuple):
    """What a caller's startup message requests.

    Attributes:
      user: The id of the key.
      service: The name of the database service.
      token: The session token, or "".
      max_age_s: The greatest accepted age of data; None means that reads
        follow the session's floor.
      application_name: The name that the caller reports.
      settings: The session settings, by their names in lower case.
      extensions: The requested protocol extensions, none of them supported.
    """

    user: str
    service: str
    token: str
    max_age_s: float | None
    application_name: str
    settings: dict[str, str]
    extensions: tuple[str, ...]


def is_supported_protocol(code: int) -> bool:
    """Returns whether `code` requests version 3 of the protocol."""
    return code >> 16 == _PROTOCOL_MAJOR


def negotiate_protocol(extensions: tuple[str, ...]) -> bytes:
    """Returns a NegotiateProtocolVersion: 3.0 without these extensions."""
    payload = struct.pack("!II", wire.PROTOCOL_VERSION, len(extensions))
    for extension in extensions:
        payload += wire.cstring(extension)
    return wire.Message(b"v", payload).encode()


def split_options(text: str) -> list[str]:
    """Splits startup options at blanks of ASCII; a backslash escapes."""
    words = []
    word = ""
    begun = False
    escaped = False
    for character in text:
        if escaped:
            word += character
            escaped = False
            continue
        if character == "\\":
            escaped = True
            begun = True
            continue
        if character not in _OPTION_BLANKS:
            word += character
            begun = True
            continue
        if begun:
            words.append(word)
        word = ""
        begun = False
    if begun:
        words.append(word)
    return words


def parse_options(text: str) -> dict[str, str] | None:
    """Returns the settings in startup options, or None if malformed."""
    settings = {}
    words = iter(split_options(text))
    for word in words:
        if word == "-c":
            assignment = next(words, "")
        elif word.startswith(("-c", "--")):
            assignment = word[2:]
        else:
            return None
        name, equals, value = assignment.partition("=")
        if not equals or not name:
            return None
        name = settings_syntax.fold_name(name.replace("-", "_"))
        settings[name] = value
    return settings


def parse_startup_request(
    parameters: dict[str, str],
) -> Caller | outcomes.Refusal:
    """Returns what the parameters of a startup message request."""
    options = parse_options(parameters.get("options", ""))
    if options is None:
        return outcomes.Refusal(outcomes.BAD_SETTING, "malformed options")
    extensions = []
    for name, value in parameters.items():
        if name.startswith(_EXTENSION_PREFIX):
            extensions.append(name)
        elif name not in _CONNECTION_PARAMETERS:
            options[settings_syntax.fold_name(name)] = value
    if options.pop("replication", "").lower() not in _FALSE_WORDS:
        return outcomes.Refusal(outcomes.NOT_CARRIED, "replication")
    user = parameters.get("user", "")
    caller = Caller(
        user=user,
        service=parameters.get("database") or user,
        token="",
        max_age_s=None,
        application_name=options.pop("application_name", ""),
        settings={},
        extensions=tuple(extensions),
    )
    return _apply_settings(caller, options)


def _apply_settings(
    caller: Caller, options: dict[str, str]
) -> Caller | outcomes.Refusal:
    """Returns `caller` with the requested settings."""
    if len(options) > rounds.MAX_SETTINGS:
        return outcomes.Refusal(outcomes.BAD_SETTING, "too many settings")
    for name, value in options.items():
        if name.startswith(settings_syntax.PROXY_PREFIX):
            change = settings_syntax.parse_proxy_setting(name, value)
            if isinstance(change, settings_syntax.RefusedChange):
                return outcomes.Refusal(outcomes.BAD_SETTING, change.detail)
            caller = _apply_proxy_setting(caller, change.effect)
            continue
        if name == "client_encoding":
            if not settings_syntax.is_utf8(value):
                return outcomes.Refusal(outcomes.ENCODING_NOT_CARRIED, value)
            continue
        refused = settings_syntax.find_refused_setting(name, value)
        if refused:
            return outcomes.Refusal(outcomes.NOT_CARRIED, refused)
        caller.settings[name] = value
    return caller


def _apply_proxy_setting(caller: Caller, effect: object) -> Caller:
    """Returns `caller` with a proxy setting (`cuminwall.*`) applied."""
    if isinstance(effect, session_effects.SessionTokenSet):
        return caller._replace(token=effect.token)
    if isinstance(effect, session_effects.MaxAgeChanged):
        return caller._replace(max_age_s=effect.max_age_s)
    return caller


class Verifier(NamedTuple):
    """A SCRAM verifier: enough to check a key, but not to log in with it."""

    salt: bytes
    iterations: int
    stored_key: bytes
    server_key: bytes


def parse_verifier(text: str) -> Verifier | None:
    """Parses a verifier in PostgreSQL's format; None if malformed."""
    try:
        scheme, salting, keys = text.split("$")
        iterations, salt = salting.split(":")
        stored_key, server_key = keys.split(":")
        if scheme != _SCHEME:
            return None
        return Verifier(
            base64.b64decode(salt, validate=True),
            int(iterations),
            base64.b64decode(stored_key, validate=True),
            base64.b64decode(server_key, validate=True),
        )
    except (ValueError, binascii.Error):
        return None


def make_verifier(key: str, salt: bytes) -> str:
    """Returns the verifier of `key` in PostgreSQL's format.

    Args:
      key: The key.
      salt: `SALT_BYTES` random bytes.
    """
    mechanism = scramp.ScramMechanism(MECHANISM)
    _, stored_key, server_key, _ = mechanism.make_auth_info(
        key, ITERATIONS, salt
    )
    encoded = [
        base64.b64encode(part).decode()
        for part in (salt, stored_key, server_key)
    ]
    return f"{_SCHEME}${ITERATIONS}:{encoded[0]}${encoded[1]}:{encoded[2]}"


def make_mock_verifier(secret: bytes, key_id: str) -> Verifier:
    """Returns a verifier that no key matches, always the same per `key_id`."""
    name = key_id.encode()
    salt = hmac.digest(secret, b"salt" + name, hashlib.sha256)
    stored_key = hmac.digest(secret, b"stored" + name, hashlib.sha256)
    server_key = hmac.digest(secret, b"server" + name, hashlib.sha256)
    return Verifier(salt[:SALT_BYTES], ITERATIONS, stored_key, server_key)


def find_verifier(
    port: work.ServicePort, key_id: str, secret: bytes
) -> Verifier | outcomes.Failure:
    """Returns the verifier of a key, or a mock one for an unknown key."""
    entry = port.find_key(key_id)
    if isinstance(entry, work.KeyEntry):
        verifier = parse_verifier(entry.verifier)
        if verifier is not None:
            return verifier
        logger.error("caller: the verifier of key {!r} is malformed", key_id)
        return make_mock_verifier(secret, key_id)
    if entry in (outcomes.KEY_REFUSED, outcomes.KEY_WITHDRAWN):
        return make_mock_verifier(secret, key_id)
    return entry


def is_same_key(entry: work.KeyEntry, verifier: Verifier) -> bool:
    """Returns whether `entry` still has this verifier."""
    return parse_verifier(entry.verifier) == verifier


class ScramExchange:
    """The server side of a SCRAM exchange.

    Attributes:
      verifier: The verifier of the key.
      authenticated: Whether the caller has proved that it has the key.
    """

    def __init__(self, verifier: Verifier):
        mechanism = scramp.ScramMechanism(MECHANISM)
        self.server = mechanism.make_server(
            lambda _: (
                verifier.salt,
                verifier.stored_key,
                verifier.server_key,
                verifier.iterations,
            )
        )
        self.verifier = verifier
        self.started = False
        self.authenticated = False

    def encode_request(self) -> bytes:
        """Returns the message that requests SCRAM from the caller."""
        return wire.authentication(
            AUTHENTICATION_SASL, wire.cstring(MECHANISM) + b"\0"
        )

    def receive(self, payload: bytes) -> bytes | outcomes.Failure:
        """Handles a password message and returns the reply.

        Raises:
          exceptions.ProtocolError: The message is malformed.
        """
        try:
            if not self.started:
                self.started = True
                return self._receive_first(payload)
            return self._receive_final(payload)
        except scramp.ScramException:
            return outcomes.KEY_REFUSED
        except (UnicodeDecodeError, struct.error) as error:
            raise exceptions.ProtocolError("malformed SASL message") from error

    def _receive_first(self, payload: bytes) -> bytes | outcomes.Failure:
        mechanism, offset = wire.read_cstring(payload)
        if mechanism != MECHANISM:
            return outcomes.KEY_REFUSED
        (size,) = struct.unpack_from("!i", payload, offset)
        offset += 4
        if size < 0 or offset + size != len(payload):
            raise exceptions.ProtocolError("malformed SASL message")
        first = payload[offset:].decode()
        parts = first.split(",", 3)
        if len(parts) != 4 or not parts[2].startswith("n="):
            raise exceptions.ProtocolError("malformed SASL message")
        # The user name is taken from the startup message. Most clients send an
        # empty one here, which scramp refuses, so it gets another name; the
        # proof is still checked over the message as it was sent.
        parts[2] = "n=caller"
        self.server.set_client_first(",".join(parts))
        self.server.client_first_bare = ",".join(first.split(",", 2)[2:])
        answer = self.server.get_server_first()
        return wire.authentication(
            AUTHENTICATION_SASL_CONTINUE, answer.encode()
        )

    def _receive_final(self, payload: bytes) -> bytes:
        self.server.set_client_final(payload.decode())
        answer = self.server.get_server_final()
        self.authenticated = True
        return wire.authentication(AUTHENTICATION_SASL_FINAL, answer.encode())
