"""The login phase of a caller's connection."""

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
    """Handles startup packets and the SCRAM exchange.

    Attributes:
      connection: The connection.
      buffer: Received bytes that are not a complete packet yet.
      caller: What the startup message requested, once received.
      exchange: The SCRAM exchange, once started.
      framer: Splits bytes into password messages, once the exchange started.
      encrypted: Whether TLS was accepted.
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
        """Handles bytes from the caller.

        Raises:
          exceptions.ProtocolError: They are not a valid login.
        """
        if self.framer is not None:
            self._handle_password_data(data)
            return
        self.buffer += data
        while self.framer is None and not self.connection.closing:
            packet = self._next_packet()
            if packet is None:
                return
            self._handle_startup(packet)

    def is_idle(self) -> bool:
        """Returns True: no request can be running before the login."""
        return True

    def _next_packet(self) -> wire.Startup | None:
        """Returns the next startup packet, or None if it is incomplete."""
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

    def _handle_startup(self, packet: wire.Startup) -> None:
        """Handles a startup packet."""
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
            raise exceptions.ProtocolError("unsupported protocol version")
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
            # Bytes received before the handshake are not encrypted and must
            # not be treated as if they were.
            raise exceptions.ProtocolError(
                "data received between the TLS request and the handshake"
            )
        self.encrypted = True
        connection.write(_TLS_YES)
        connection.start_tls()

    def _authenticate(self, caller: logins.Caller) -> None:
        """Starts SCRAM, or admits a caller without a key to an open service."""
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
            raise exceptions.ProtocolError(
                "data received before the SASL request was sent"
            )

    def _handle_password_data(self, data: bytes) -> None:
        """Handles bytes of password messages."""
        assert self.framer is not None
        for message in self.framer.feed(data):
            if message.tag != _PASSWORD_TAG or self.connection.closing:
                raise exceptions.ProtocolError("expected a password message")
            self._handle_password(message.payload)

    def _handle_password(self, payload: bytes) -> None:
        assert self.exchange is not None
        assert self.caller is not None
        connection = self.connection
        if self.exchange.authenticated:
            raise exceptions.ProtocolError(
                "message received before the end of login"
            )
        answer = self.exchange.receive(payload)
        if isinstance(answer, outcomes.Failure):
            logger.info(
                "caller: authentication of {} failed for key {!r}",
                connection.client,
                self.caller.user,
            )
            connection.fail(answer)
            return
        connection.write(answer)
        if not self.exchange.authenticated:
            return
        # The key may have been withdrawn during the exchange, or replaced by
        # a key of another workspace.
        entry = connection.front_end.port.find_key(self.caller.user)
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
        """Opens a session and completes the login."""
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
    """Returns the messages that complete a login, up to ReadyForQuery."""
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
