"""What a statement changes in a caller's session, as data.

The effects of a statement take hold when the server has completed it; those
on cuminwall's own settings take hold when the round is cut.
"""

from typing import NamedTuple


class SettingChanged(NamedTuple):
    """A SET or RESET of an ordinary setting.

    Attributes:
      name: The setting in lower case.
      value: The new value as set_config() takes it; None means the default.
    """

    name: str
    value: str | None


class SettingsReset(NamedTuple):
    """RESET ALL: every setting has its default again."""


class StatementsDropped(NamedTuple):
    """DEALLOCATE of one statement, or of all if `name` is None."""

    name: str | None


class TransactionEnded(NamedTuple):
    """COMMIT or ROLLBACK; the server's answer tells which it became."""


class SavepointSet(NamedTuple):
    """SAVEPOINT `name`."""

    name: str


class SavepointRestored(NamedTuple):
    """ROLLBACK TO SAVEPOINT `name`."""

    name: str


class SavepointReleased(NamedTuple):
    """RELEASE SAVEPOINT `name`."""

    name: str


class SessionTokenSet(NamedTuple):
    """SET cuminwall.session: the session must see what `token` stands for."""

    token: str


class MaxAgeChanged(NamedTuple):
    """SET cuminwall.max_age, in seconds; None means the session's floor."""

    max_age_s: float | None


class RequestIdSet(NamedTuple):
    """SET cuminwall.request_id: the id of the next write."""

    request_id: str


ProxyEffect = SessionTokenSet | MaxAgeChanged | RequestIdSet
ServerEffect = (
    SettingChanged
    | SettingsReset
    | StatementsDropped
    | TransactionEnded
    | SavepointSet
    | SavepointRestored
    | SavepointReleased
)
SessionEffect = ProxyEffect | ServerEffect
