"""The exceptions of cuminwall.

Failures that are reported to callers are not exceptions but the constants of
`cuminwall.outcomes`.
"""


class CuminwallError(Exception):
    """The base class of all exceptions raised by cuminwall."""


class ProtocolError(CuminwallError):
    """The peer of a connection violated the protocol."""


class ConnectionLostError(CuminwallError):
    """A connection ended while an answer was awaited."""


class AnswerTooLargeError(ConnectionLostError):
    """An answer is larger than its reader accepts."""


class NotSentError(CuminwallError):
    """A call was not sent, since its reason had lapsed by then."""


class AnswerTimeoutError(CuminwallError):
    """An answer did not arrive before its deadline."""


class StoreUnavailableError(CuminwallError):
    """The platform's store gave no usable answer; the outcome is unknown."""


class SettingsError(CuminwallError):
    """Settings or a configuration document are invalid.

    Attributes:
      faults: All faults found, each with its path.
    """

    def __init__(self, faults: list):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults
