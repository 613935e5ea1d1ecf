"""The part of a caller's connection before it is logged in."""

from typing import TYPE_CHECKING

from loguru import logger

from cuminwall import exceptions, logins, outcomes, wire, work

if TYPE_CHECKING:
    from cuminwall import caller_connection

_LENGTH_BYTES = 4
_PASSWORD_TAG = b"p"
_TLS_YES = b"S"
_TLS_NO = b"N"
MAX_PASSWORD_BYTES = 4096

PARAMETERS = (
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
)


class LoginPhase:
    """Reads startup packets and carries the SCRAM exchange.

    Attributes:
      connection: The connection it serves.
      buffer: Bytes not used yet.
      caller: What the startup message asked for, once it came.
      exchange: The SCRAM exchange, once it began.
      framer: Cuts password messages, once the exchange began.
      encrypted: Whether TLS was agreed.
    """

    __slots__ = (
        "buffer",
        "caller",
        "connection",
        "encrypted",
        "exchange",
        "framer",
    )

    def __init__(self, connection: "caller_connection.CallerConnection"):
        self.connection = connection
        self.buffer = bytearray()
        self.caller: logins.Caller | None = None
        self.exchange: logins.ScramExchange | None = None
        self.framer: wire.Framer | None = None
        self.encrypted = False

    def receive(self, data: bytes) -> None:
        """Takes bytes of the caller.

        Raises:
          exceptions.ProtocolError: They are no login.
        """
        if self.framer is not None:
            self._receive_messages(data)
            return
        self.buffer += data
        while self.framer is None and not self.connection.closing:
            packet = self._next_packet()
            if packet is None:
                return
            self._take_startup(packet)

    def is_idle(self) -> bool:
        """Returns that no request is under way."""
        return True

    def _next_packet(self) -> wire.Startup | None:
        """Returns the next whole startup packet, if it is there."""
        buffer = self.buffer
        if len(buffer) < _LENGTH_BYTES:
            return None
        size = wire.parse_startup_length(bytes(buffer[:_LENGTH_BYTES]))
        end = _LENGTH_BYTES + size
        if len(buffer) < end:
            return None
        packet = wire.parse_startup(bytes(buffer[_LENGTH_BYTES:end]))
        del buffer[:end]
        return packet

    def _take_startup(self, packet: wire.Startup) -> None:
        """Acts on one startup packet."""
        connection = self.connection
        if packet.code == wire.SSL_REQUEST_CODE:
            self._answer_tls_request()
            return
        if packet.code == wire.GSSENC_REQUEST_CODE:
            connection.write(_TLS_NO)
            return
        if packet.code == wire.CANCEL_REQUEST_CODE:
            process_id, secret = wire.parse_cancel(packet.payload)
            connection.front_end.cancel(process_id, secret)
            connection.close()
            return
        if not logins.is_supported_protocol(packet.code):
            raise exceptions.ProtocolError("unknown protocol version")
        parameters = wire.parse_startup_parameters(packet.payload)
        caller = logins.parse_startup_request(parameters)
        if isinstance(caller, outcomes.Refusal):
            connection.fail(caller.failure, caller.detail)
            return
        self.caller = caller
        if packet.code != wire.PROTOCOL_VERSION or caller.extensions:
            connection.write(logins.negotiate_protocol(caller.extensions))
        self._authenticate(caller)

    def _answer_tls_request(self) -> None:
        connection = self.connection
        if connection.front_end.tls is None or self.encrypted:
            connection.write(_TLS_NO)
            return
        if self.buffer:
            # These bytes came unencrypted and must not count as encrypted.
            raise exceptions.ProtocolError("bytes after the TLS request")
        self.encrypted = True
        connection.write(_TLS_YES)
        connection.start_tls()

    def _authenticate(self, caller: logins.Caller) -> None:
        """Begins the exchange, or admits a caller of an open route."""
        connection = self.connection
        port = connection.front_end.port
        if caller.user == logins.OPEN_USER and port.is_open(caller.service):
            self._admit(caller, key_id="", workspace="")
            return
        verifier = logins.find_verifier(
            port, caller.user, connection.front_end.mock_secret
        )
        if isinstance(verifier, outcomes.Failure):
            connection.fail(verifier)
            return
        self.exchange = logins.ScramExchange(verifier)
        self.framer = wire.Framer(MAX_PASSWORD_BYTES)
        connection.write(self.exchange.encode_request())
        if self.buffer:
            raise exceptions.ProtocolError("bytes before the SASL request")

    def _receive_messages(self, data: bytes) -> None:
        """Takes password messages."""
        assert self.framer is not None
        for message in self.framer.feed(data):
            if message.tag != _PASSWORD_TAG or self.connection.closing:
                raise exceptions.ProtocolError("a password was expected")
            self._take_password(message.payload)

    def _take_password(self, payload: bytes) -> None:
        assert self.exchange is not None
        assert self.caller is not None
        connection = self.connection
        if self.exchange.authenticated:
            raise exceptions.ProtocolError("message before the login is done")
        answer = self.exchange.receive(payload)
        if isinstance(answer, outcomes.Failure):
            logger.info(
                "caller: {} showed no right key for {!r}",
                connection.client,
                self.caller.user,
            )
            connection.fail(answer)
            return
        connection.write(answer)
        if not self.exchange.authenticated:
            return
        # The key may have been withdrawn during the exchange, or replaced by
        # one of another workspace.
        entry = connection.server.port.find_key(self.caller.user)
        if isinstance(entry, outcomes.Failure):
            connection.fail(entry)
            return
        if not logins.is_same_key(entry, self.exchange.verifier):
            connection.fail(outcomes.KEY_REFUSED)
            return
        self._admit(self.caller, self.caller.user, entry.workspace)

    def _admit(
        self, caller: logins.Caller, key_id: str, workspace: str
    ) -> None:
        """Opens the session and greets the caller."""
        connection = self.connection
        login = work.Login(
            service=caller.service,
            key_id=key_id,
            workspace=workspace,
            token=caller.token,
            client=connection.client,
        )
        admitted = connection.front_end.port.open_session(login)
        if isinstance(admitted, outcomes.Failure):
            connection.fail(admitted)
            return
        logger.info(
            "caller: {} logged in to {!r} with key {!r}, session {}",
            connection.client,
            caller.service,
            key_id,
            admitted.session,
        )
        connection.start_session(caller, admitted.session)


def encode_login_complete(
    caller: logins.Caller, process_id: int, secret: int
) -> bytes:
    """Returns what a caller gets after its login, up to ReadyForQuery."""
    settings = caller.settings
    parts = [wire.authentication(logins.AUTHENTICATION_OK)]
    for name, value in PARAMETERS:
        parts.append(wire.parameter_status(name, value))
    reported = (
        ("application_name", caller.application_name),
        ("DateStyle", settings.get("datestyle", "ISO, MDY")),
        ("IntervalStyle", settings.get("intervalstyle", "postgres")),
        ("TimeZone", settings.get("timezone", "UTC")),
    )
    for name, value in reported:
        parts.append(wire.parameter_status(name, value))
    parts.append(wire.backend_key_data(process_id, secret))
    parts.append(wire.ready_for_query(b"I"))
    return b"".join(parts)
