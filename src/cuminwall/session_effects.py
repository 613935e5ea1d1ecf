"""What a statement changes in a caller's session, as data.

An effect applies when the server has completed the statement. An effect on the
proxy's own settings (`cuminwall.*`) applies when the round is formed.
"""

from typing import NamedTuple


class SettingChanged(NamedTuple):
    """A SET or RESET of an ordinary setting.

    Attributes:
      name: The setting in lower case.
      value: The new value as an argument of set_config(); None resets it.
    """

    name: str
    value: str | None


class SettingsReset(NamedTuple):
    """RESET ALL."""


class StatementsDropped(NamedTuple):
    """DEALLOCATE of one statement, or of all if `name` is None."""

    name: str | None


class TransactionEnded(NamedTuple):
    """COMMIT or ROLLBACK; the server's command tag says which took place."""


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
    """SET cuminwall.session: reads must reach the position in `token`."""

    token: str


class MaxAgeChanged(NamedTuple):
    """SET cuminwall.max_age, in seconds; None means that the floor applies."""

    max_age_s: float | None


class RequestIdSet(NamedTuple):
    """SET cuminwall.request_id: the idempotency key of the next write."""

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
