"""The exceptions of cuminwall, under one root.

Answers to callers are not exceptions: they are the sentinel values of
`cuminwall.outcomes`.
"""


class CuminwallError(Exception):
    """The root of all exceptions raised by cuminwall."""


class ProtocolError(CuminwallError):
    """The other side of a connection broke its protocol."""


class ConnectionLostError(CuminwallError):
    """A connection ended while an answer was awaited."""


class AnswerTimeoutError(CuminwallError):
    """An answer did not arrive before its deadline."""


class StoreUnavailableError(CuminwallError):
    """The platform's store gave no usable answer; the effect is unknown."""


class SettingsError(CuminwallError):
    """Settings or a configuration document hold faults.

    Attributes:
      faults: Every fault found, each with its path.
    """

    def __init__(self, faults: list):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults
