"""How an exchange with a backend server can break off.

Each class extends the one in `cuminwall.exceptions` that callers catch, and
adds what is known about the request. The connection is closed in every case.
"""

from collections.abc import Mapping

from cuminwall import exceptions

Fields = Mapping[str, str]


class ExchangeError(exceptions.CuminwallError):
    """An exchange with a backend server broke off.

    Attributes:
      sent: Whether a byte of the request may have reached the server.
      delivered: Whether a byte of the answer went to the caller's sink.
      fields: The fields of the server's last FATAL message, by letter.
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
    """The connection to a backend server ended, or was never made."""


class BackendTimeoutError(ExchangeError, exceptions.AnswerTimeoutError):
    """A backend server stayed silent until the deadline."""


class BackendProtocolError(ExchangeError, exceptions.ProtocolError):
    """A backend server sent a message that does not belong to the answer."""


class LoginRefusedError(ExchangeError):
    """A backend server refused the login; `fields` holds its answer."""


class LoginMethodError(ExchangeError):
    """A backend server asked for a login method that is not carried."""


class ProbeRefusedError(ExchangeError):
    """The server answered a position query with an error."""
