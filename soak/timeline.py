"""The configurations that were written, and when something was impaired.

All times are seconds of the system's monotonic clock, which all processes of a
machine share.
"""

from typing import NamedTuple

APPLY_S = 5.0  # By when an instance in touch handles by a new configuration.
CONTACT_S = 5.0  # Without impairment, until an instance is in touch again.
EVERYONE = "store"  # Impaired with it: every instance.


class Version(NamedTuple):
    """A configuration as the operator wrote it.

    Attributes:
      number: Its version.
      sent_at: When it was sent to the store.
      acknowledged_at: When the store confirmed it.
      routes: The service of each database.
      keys: The valid keys.
      change: What it changes.
    """

    number: int
    sent_at: float
    acknowledged_at: float
    routes: dict[str, str]
    keys: frozenset[str]
    change: str


class Impairment(NamedTuple):
    """A time during which an instance, or the store, was impaired.

    Attributes:
      subject: The name of the instance, or EVERYONE.
      kind: What happened.
      began_at: When it began.
      ended_at: When it ended.
    """

    subject: str
    kind: str
    began_at: float
    ended_at: float


class Timeline:
    """What was written and what was impaired.

    Attributes:
      began_at: The time that reports count from.
      versions: The configurations, in their order.
      impairments: The impairments, in the order in which they began.
    """

    def __init__(self, began_at: float):
        self.began_at = began_at
        self.versions: list[Version] = []
        self.impairments: list[Impairment] = []

    def since_start(self, at: float) -> float:
        """Returns a time as seconds since the start, for reports."""
        return round(at - self.began_at, 3)

    def add_impairment(
        self, subject: str, kind: str, began_at: float, ended_at: float
    ) -> None:
        """Adds an impairment, whose end may lie ahead."""
        self.impairments.append(Impairment(subject, kind, began_at, ended_at))

    def find_allowed(self, sent_at: float) -> list[Version]:
        """Returns the versions by which a request may be handled.

        These are the newest one that was acknowledged long enough before the
        request was sent, and all later ones.
        """
        first = 0
        for index, version in enumerate(self.versions):
            if version.acknowledged_at <= sent_at - APPLY_S:
                first = index
        return self.versions[first:]

    def is_in_touch(self, instance: str, at: float) -> bool:
        """Returns whether an instance has been in touch for long enough."""
        for impairment in self.impairments:
            if impairment.subject not in (EVERYONE, instance):
                continue
            if impairment.began_at > at:
                continue
            if impairment.ended_at > at - CONTACT_S:
                return False
        return True

    def find_due_at(self, instance: str, version: Version) -> float:
        """Returns by when a version must be in force at an instance."""
        due_at = version.acknowledged_at + APPLY_S
        is_moved = True
        while is_moved:
            is_moved = False
            for impairment in self.impairments:
                if impairment.subject not in (EVERYONE, instance):
                    continue
                until = impairment.ended_at + CONTACT_S
                if impairment.began_at <= due_at < until:
                    due_at = until
                    is_moved = True
        return due_at
