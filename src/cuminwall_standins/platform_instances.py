"""The instance list of the stand-in platform, which lags behind."""

from typing import NamedTuple

from cuminwall import ports


class ListChange(NamedTuple):
    """An announcement, or a withdrawal if `record` is None, at a time."""

    at: float
    instance: str
    record: ports.InstanceRecord | None


class LaggingList:
    """Shows the instances as announced `lag_s` seconds ago.

    An instance that is not announced again within `ttl_s` seconds expires.
    """

    def __init__(self, lag_s: float, ttl_s: float) -> None:
        self.lag_s = lag_s
        self.ttl_s = ttl_s
        self.pending: list[ListChange] = []
        self.shown: dict[str, ListChange] = {}

    def announce(self, record: ports.InstanceRecord, now: float) -> None:
        """Adds or renews a record."""
        self.pending.append(ListChange(now, record.instance, record))

    def withdraw(self, instance: str, now: float) -> None:
        """Removes a record."""
        self.pending.append(ListChange(now, instance, None))

    def visible_records(self, now: float) -> list[ports.InstanceRecord]:
        """Returns the list as of `lag_s` seconds before `now`."""
        as_of = now - self.lag_s
        while self.pending and self.pending[0].at <= as_of:
            change = self.pending.pop(0)
            self.shown[change.instance] = change
        records = []
        for change in list(self.shown.values()):
            if change.record is None or change.at + self.ttl_s <= as_of:
                del self.shown[change.instance]
                continue
            records.append(change.record)
        return records
