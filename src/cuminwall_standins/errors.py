"""The error that the stand-in database answers with."""

from cuminwall import exceptions


class SqlError(exceptions.CuminwallError):
    """A statement failed.

    Attributes:
      sqlstate: The five-character code of the PostgreSQL error table.
      message: One line for the client.
      severity: "ERROR", or "FATAL" when the connection ends.
    """

    def __init__(self, sqlstate: str, message: str, severity: str = "ERROR"):
        super().__init__(message)
        self.sqlstate = sqlstate
        self.message = message
        self.severity = severity
