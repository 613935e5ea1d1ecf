"""Logging in at a backend server: trust and SCRAM-SHA-256.

The daemon has credentials of its own towards backend servers; a caller's key
never comes here. Nothing here does I/O.
"""

import struct

import scramp

from cuminwall import backend_errors, exceptions, wire

MECHANISM = "SCRAM-SHA-256"
APPLICATION_NAME = "cuminwall"

_OK = 0
_CLEARTEXT = 3
_MD5 = 5
_SASL = 10
_SASL_CONTINUE = 11
_SASL_FINAL = 12

_METHOD_NAMES = {_CLEARTEXT: "a cleartext password", _MD5: "an MD5 password"}


class Login:
    """The client side of a login.

    Attributes:
      parameters: What the server reported, by name.
      process_id: The server process, for a CancelRequest.
      secret: The key that a CancelRequest must show.
      done: Whether the server is ready for queries.
    """

    def __init__(self, user: str, password: str, database: str):
        self.user = user
        self.password = password
        self.database = database
        self.parameters: dict[str, str] = {}
        self.process_id = 0
        self.secret = 0
        self.done = False
        self.scram: scramp.ScramClient | None = None
        self.authenticated = False

    def startup_message(self) -> bytes:
        """Returns the StartupMessage."""
        return wire.startup_packet(
            {
                "user": self.user,
                "database": self.database,
                "application_name": APPLICATION_NAME,
                "client_encoding": "UTF8",
            }
        )

    def handle_message(self, message: wire.Message) -> bytes:
        """Returns what to send in answer to a message; may be empty.

        Raises:
          backend_errors.LoginRefusedError: The server refused the login.
          backend_errors.LoginMethodError: The method is not carried.
          exceptions.ProtocolError: The message does not belong here.
        """
        if message.tag == b"R":
            return self.handle_authentication(message.payload)
        if message.tag == b"E":
            fields = wire.read_error_fields(message.payload)
            raise backend_errors.LoginRefusedError(
                f"login refused: {fields.get('C')} {fields.get('M')}",
                fields=fields,
            )
        if message.tag == b"N":
            return b""
        if message.tag == b"S":
            name, offset = wire.read_cstring(message.payload)
            value, _ = wire.read_cstring(message.payload, offset)
            self.parameters[name] = value
            return b""
        if message.tag == b"K" and len(message.payload) >= 8:
            self.process_id, self.secret = struct.unpack_from(
                "!II", message.payload
            )
            return b""
        if message.tag == b"Z" and self.authenticated:
            self.done = True
            return b""
        raise exceptions.ProtocolError(
            f"message {message.tag!r} came during login"
        )

    def handle_authentication(self, payload: bytes) -> bytes:
        """Answers one authentication request."""
        if len(payload) < 4:
            raise exceptions.ProtocolError("malformed authentication request")
        (code,) = struct.unpack_from("!I", payload)
        try:
            return self.answer_authentication(code, payload[4:])
        except (scramp.ScramException, UnicodeDecodeError) as error:
            raise exceptions.ProtocolError(
                f"the server failed SCRAM: {error}"
            ) from error

    def answer_authentication(self, code: int, data: bytes) -> bytes:
        """Answers the authentication request `code`."""
        if code == _OK:
            # A server that skips its last message has not proved itself.
            if self.scram is not None and not self.authenticated:
                raise exceptions.ProtocolError("SCRAM ended half-way")
            self.authenticated = True
            return b""
        if code == _SASL:
            return self.start_scram(data)
        if code == _SASL_CONTINUE and self.scram is not None:
            self.scram.set_server_first(data.decode())
            final = self.scram.get_client_final()
            return wire.Message(b"p", final.encode()).encode()
        if code == _SASL_FINAL and self.scram is not None:
            self.scram.set_server_final(data.decode())
            self.authenticated = True
            return b""
        name = _METHOD_NAMES.get(code, f"method {code}")
        raise backend_errors.LoginMethodError(f"the server asks for {name}")

    def start_scram(self, data: bytes) -> bytes:
        """Answers the server's list of mechanisms."""
        offered = [name.decode() for name in data.split(b"\0") if name]
        if MECHANISM not in offered:
            raise backend_errors.LoginMethodError(
                f"the server offers only {', '.join(offered)}"
            )
        self.scram = scramp.ScramClient([MECHANISM], self.user, self.password)
        first = self.scram.get_client_first().encode()
        payload = wire.cstring(MECHANISM) + struct.pack("!I", len(first))
        return wire.Message(b"p", payload + first).encode()
