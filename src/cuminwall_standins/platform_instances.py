"""The lagging list of instances of the stand-in platform."""

from typing import NamedTuple

from cuminwall import ports


class ListChange(NamedTuple):
    """An announcement at a time, or a withdrawal if `record` is None."""

    at: float
    instance: str
    record: ports.InstanceRecord | None


class LaggingList:
    """Shows the announcements as they stood `lag_s` seconds ago.

    An instance that did not announce itself for `ttl_s` seconds drops out.
    """

    def __init__(self, lag_s: float, ttl_s: float) -> None:
        self.lag_s = lag_s
        self.ttl_s = ttl_s
        self.not_shown: list[ListChange] = []
        self.shown: dict[str, ListChange] = {}

    def announce(self, record: ports.InstanceRecord, now: float) -> None:
        """Adds or renews a record."""
        self.not_shown.append(ListChange(now, record.instance, record))

    def withdraw(self, instance: str, now: float) -> None:
        """Removes a record."""
        self.not_shown.append(ListChange(now, instance, None))

    def visible_records(self, now: float) -> list[ports.InstanceRecord]:
        """Returns the list as it stood `lag_s` before `now`."""
        horizon = now - self.lag_s
        while self.not_shown and self.not_shown[0].at <= horizon:
            renewal = self.not_shown.pop(0)
            self.shown[renewal.instance] = renewal
        records = []
        for renewal in list(self.shown.values()):
            if renewal.record is None or renewal.at + self.ttl_s <= horizon:
                del self.shown[renewal.instance]
                continue
            records.append(renewal.record)
        return records
