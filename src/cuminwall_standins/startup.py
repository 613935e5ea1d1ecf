"""The startup phase of a connection: requests, limits and SCRAM-SHA-256."""

import asyncio
from typing import NamedTuple

import scramp

from cuminwall import exceptions, wire
from cuminwall_standins import errors, messages

MECHANISM = "SCRAM-SHA-256"
_SASL = 10
_SASL_CONTINUE = 11
_SASL_FINAL = 12
_REFUSED = (wire.SSL_REQUEST_CODE, wire.GSSENC_REQUEST_CODE)


class CancelRequest(NamedTuple):
    """A CancelRequest, which has a connection of its own."""

    process_id: int
    secret: int


class StartupMessage(NamedTuple):
    """The parameters of a StartupMessage."""

    parameters: dict[str, str]


class Verifier:
    """Checks the password of the one user."""

    def __init__(self, user: str, password: str):
        self.user = user
        self.mechanism = scramp.ScramMechanism(MECHANISM)
        self.known = self.mechanism.make_auth_info(password)

    def start(self) -> scramp.core.ScramServer:
        """Returns the server's side of one exchange."""
        return self.mechanism.make_server(lambda _: self.known)


async def read_first_packet(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> StartupMessage | CancelRequest:
    """Reads first packets until one starts or cancels something.

    Raises:
      exceptions.ProtocolError: The packet is malformed.
    """
    while True:
        size = wire.parse_startup_length(await reader.readexactly(4))
        packet = wire.parse_startup(await reader.readexactly(size))
        if packet.code in _REFUSED:
            messages.send(writer, b"N")
            continue
        if packet.code == wire.CANCEL_REQUEST_CODE:
            return CancelRequest(*wire.parse_cancel(packet.payload))
        if packet.code >> 16 != wire.PROTOCOL_VERSION >> 16:
            raise exceptions.ProtocolError(f"protocol {packet.code}")
        return StartupMessage(wire.parse_startup_parameters(packet.payload))


async def authenticate(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    user: str,
    verifier: Verifier,
) -> None:
    """Proves the client's password.

    Raises:
      errors.SqlError: The user or the password is wrong.
    """
    exchange = verifier.start()
    mechanisms = wire.cstring(MECHANISM) + b"\0"
    messages.send(writer, wire.authentication(_SASL, mechanisms))
    try:
        _, first = messages.read_sasl_initial(await _read_password(reader))
        _set_client_first(exchange, first)
        answer = exchange.get_server_first().encode()
        messages.send(writer, wire.authentication(_SASL_CONTINUE, answer))
        exchange.set_client_final((await _read_password(reader)).decode())
        answer = exchange.get_server_final().encode()
    except scramp.ScramException as error:
        raise _refused(user) from error
    if user != verifier.user:
        raise _refused(user)
    messages.send(writer, wire.authentication(_SASL_FINAL, answer))
    messages.send(writer, wire.authentication(0))


def _set_client_first(exchange: scramp.core.ScramServer, first: str) -> None:
    # PostgreSQL's clients leave the name empty, which the library refuses; the
    # proof is over the message as it was sent.
    if ",n=,r=" not in first:
        exchange.set_client_first(first)
        return
    exchange.set_client_first(first.replace(",n=,r=", ",n=*,r=", 1))
    exchange.client_first_bare = first[first.index("n=,r=") :]


async def _read_password(reader: asyncio.StreamReader) -> bytes:
    header = await reader.readexactly(5)
    size = int.from_bytes(header[1:], "big") - 4
    if header[:1] != b"p" or not 0 <= size <= wire.MAX_STARTUP_BYTES:
        raise exceptions.ProtocolError("expected a SASL response")
    return await reader.readexactly(size)


def _refused(user: str) -> errors.SqlError:
    return errors.SqlError(
        "28P01", f'password authentication failed for user "{user}"', "FATAL"
    )
