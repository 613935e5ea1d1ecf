"""The settings of a caller's session, changed transactionally.

A change made in a transaction takes effect when the transaction commits, and
savepoints undo it as on the server. Pure: no I/O.
"""

import functools

from cuminwall import session_effects

# Settings whose changes a server reports in ParameterStatus messages, mapped to
# the names in these messages.
REPORTED_NAMES = {
    "application_name": "application_name",
    "datestyle": "DateStyle",
    "default_transaction_read_only": "default_transaction_read_only",
    "intervalstyle": "IntervalStyle",
    "search_path": "search_path",
    "timezone": "TimeZone",
}
DEFAULT_VALUES = {
    "application_name": "",
    "datestyle": "ISO, MDY",
    "default_transaction_read_only": "off",
    "intervalstyle": "postgres",
    "search_path": '"$user", public',
    "timezone": "UTC",
}


class SessionSettings:
    """The settings in force, and those that a commit would put into force.

    Attributes:
      in_force: The settings outside the open transaction, by name.
      startup: The settings of the startup message; RESET restores them.
      pending: The settings after a commit, or None if nothing was changed.
      savepoints: The name and the pending settings of each open savepoint.
    """

    __slots__ = ("in_force", "pending", "savepoints", "startup")

    def __init__(self, startup: dict[str, str]):
        self.startup = startup
        self.in_force = dict(startup)
        self.pending: dict[str, str] | None = None
        self.savepoints: list[tuple[str, dict[str, str]]] = []

    def is_unchanged(self) -> bool:
        """Returns whether the open transaction has changed nothing."""
        return self.pending is None and not self.savepoints

    def current(self) -> dict[str, str]:
        """Returns the settings as the open transaction sees them."""
        return self.in_force if self.pending is None else self.pending

    def change(self, name: str, value: str | None) -> None:
        """Sets `name`, or resets it if `value` is None."""
        changed = dict(self.current())
        if value is None:
            value = self.startup.get(name)
        if value is None:
            changed.pop(name, None)
        else:
            changed[name] = value
        self.pending = changed

    def commit(self) -> dict[str, str]:
        """Puts the pending settings into force.

        Returns:
          The values to report to the caller, by their reported names.
        """
        previous = self.in_force
        self.in_force = self.current()
        self.pending = None
        self.savepoints = []
        if previous is self.in_force:
            return {}
        reported = {}
        for name, reported_name in REPORTED_NAMES.items():
            value = self.in_force.get(name)
            if value == previous.get(name):
                continue
            if value is None:
                value = DEFAULT_VALUES[name]
            reported[reported_name] = value
        return reported

    def roll_back(self) -> None:
        """Drops the pending settings and all savepoints."""
        self.pending = None
        self.savepoints = []

    def set_savepoint(self, name: str) -> None:
        """Records a savepoint; none is needed before the first change."""
        if self.pending is not None:
            self.savepoints.append((name, self.pending))

    def roll_back_to(self, name: str) -> None:
        """Rolls back to the last savepoint `name`, which stays open."""
        index = self.find_savepoint(name)
        if index < 0:
            self.roll_back()
            return
        self.pending = self.savepoints[index][1]
        del self.savepoints[index + 1 :]

    def release_savepoint(self, name: str) -> None:
        """Removes the last savepoint `name` and those after it."""
        index = self.find_savepoint(name)
        del self.savepoints[max(index, 0) :]

    def find_savepoint(self, name: str) -> int:
        """Returns the index of the last savepoint `name`, or -1."""
        for index in range(len(self.savepoints) - 1, -1, -1):
            if self.savepoints[index][0] == name:
                return index
        return -1


@functools.singledispatch
def apply(effect: object, settings: SessionSettings) -> None:
    """Applies an effect of a completed statement if it concerns settings."""


@apply.register
def _apply_change(
    effect: session_effects.SettingChanged, settings: SessionSettings
) -> None:
    settings.change(effect.name, effect.value)


@apply.register
def _apply_reset(
    effect: session_effects.SettingsReset, settings: SessionSettings
) -> None:
    settings.pending = dict(settings.startup)


@apply.register
def _apply_savepoint(
    effect: session_effects.SavepointSet, settings: SessionSettings
) -> None:
    settings.set_savepoint(effect.name)


@apply.register
def _apply_restore(
    effect: session_effects.SavepointRestored, settings: SessionSettings
) -> None:
    settings.roll_back_to(effect.name)


@apply.register
def _apply_release(
    effect: session_effects.SavepointReleased, settings: SessionSettings
) -> None:
    settings.release_savepoint(effect.name)
