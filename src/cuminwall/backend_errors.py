"""Exceptions of an exchange with a backend server.

Each class extends the one in `cuminwall.exceptions` that callers catch, and
adds how far the request got. The connection is closed in every case.
"""

from collections.abc import Mapping

from cuminwall import exceptions

Fields = Mapping[str, str]


class ExchangeError(exceptions.CuminwallError):
    """An exchange with a backend server failed.

    Attributes:
      sent: Whether any part of the request may have reached the server.
      delivered: Whether any part of the answer was passed to the sink.
      fields: The fields of the server's error message, by type.
    """

    def __init__(
        self,
        message: str,
        sent: bool = False,
        delivered: bool = False,
        fields: Fields | None = None,
    ):
        super().__init__(message)
        self.sent = sent
        self.delivered = delivered
        self.fields = dict(fields or {})


class BackendLostError(ExchangeError, exceptions.ConnectionLostError):
    """The connection to a backend server was closed or not established."""


class BackendTimeoutError(ExchangeError, exceptions.AnswerTimeoutError):
    """A backend server did not answer in time."""


class BackendProtocolError(ExchangeError, exceptions.ProtocolError):
    """A backend server sent an unexpected message."""


class LoginRefusedError(ExchangeError):
    """A backend server refused the login; `fields` holds its answer."""


class LoginMethodError(ExchangeError):
    """A backend server requires a login method that is not supported."""


class ProbeRefusedError(ExchangeError):
    """The server answered a position query with an error."""
