"""The error that the stand-in database returns to clients."""

from cuminwall import exceptions


class SqlError(exceptions.CuminwallError):
    """A statement failed.

    Attributes:
      sqlstate: The five-character code of the PostgreSQL error table.
      message: One line for the client.
      severity: "ERROR", or "FATAL" if the connection is closed.
    """

    def __init__(self, sqlstate: str, message: str, severity: str = "ERROR"):
        super().__init__(message)
        self.sqlstate = sqlstate
        self.message = message
        self.severity = severity
