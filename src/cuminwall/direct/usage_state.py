"""What an instance keeps to count and report the usage of workspaces."""

import enum
from typing import NamedTuple

from cuminwall import leases

NO_WINDOW = -1  # Below the number of every window.


class UsageRecord(NamedTuple):
    """The report of one window, as it stands in the store.

    Attributes:
      window: The number of the window.
      counts: The requests that began to run in it, by workspace.
    """

    window: int
    counts: dict[str, int]


class UsageClock:
    """How this instance knows the wall-clock time.

    Attributes:
      own_offset: Its own wall clock minus the time since the machine booted,
        in seconds; None if it was not read yet.
      agreed_offset: The same by the clock that the instances agreed on, or
        None.
    """

    __slots__ = ("own_offset", "agreed_offset")

    def __init__(self) -> None:
        self.own_offset: float | None = None
        self.agreed_offset: float | None = None


class UsageCounts:
    """The requests that this instance has started, and who knows of them.

    Attributes:
      counts: By window and workspace.
      acknowledged: Those that the coordinator has acknowledged.
      epoch: The epoch of that coordinator.
      sent: By the number of a request, the entries in it: window, workspace
        and count.
      sent_at: When entries were last sent.
    """

    __slots__ = ("counts", "acknowledged", "epoch", "sent", "sent_at")

    def __init__(self) -> None:
        self.counts: dict[int, dict[str, int]] = {}
        self.acknowledged: dict[int, dict[str, int]] = {}
        self.epoch = 0
        self.sent: dict[int, list[tuple[int, str, int]]] = {}
        self.sent_at = leases.NEVER


class ProcessUsage:
    """What one process has told the coordinator.

    Attributes:
      number: The number of its latest request with counts.
      told_until: Up to which wall-clock time it has told all.
      counts: Its counts by window and workspace.
    """

    __slots__ = ("number", "told_until", "counts")

    def __init__(self) -> None:
        self.number = 0
        self.told_until = leases.NEVER
        self.counts: dict[int, dict[str, int]] = {}


class ReportStep(enum.Enum):
    """The steps of a report.

    Attributes:
      COLLECTING: The instances' counts are awaited.
      RECORDING: The report is being written to the store.
      SENDING: It was sent to the platform and is not yet accepted.
    """

    COLLECTING = enum.auto()
    RECORDING = enum.auto()
    SENDING = enum.auto()


class UsageCollection:
    """The counts that the coordinator collects, and the report in progress.

    Attributes:
      started_at: When it began to coordinate.
      processes: What each process has told, by its name.
      totals: The sum of their counts, by window and workspace.
      clock_offsets: By instance, its wall clock minus this instance's time
        since boot, and when that was learned.
      clock_checked_at: When the agreed clock was last set.
      next_window: The first window that is not settled.
      repeated_window: The newest window whose report needs no repetition here.
      step: The step of the report in progress.
      report: That report, or None.
      written: The report that was last sent to the store, or None.
      fencing_token: Its fencing token; 0 until the store has confirmed it.
      retry_at: When it is written, or sent, again.
    """

    __slots__ = (
        "started_at",
        "processes",
        "totals",
        "clock_offsets",
        "clock_checked_at",
        "next_window",
        "repeated_window",
        "step",
        "report",
        "written",
        "fencing_token",
        "retry_at",
    )

    def __init__(self, now: float):
        self.started_at = now
        self.processes: dict[str, ProcessUsage] = {}
        self.totals: dict[int, dict[str, int]] = {}
        self.clock_offsets: dict[str, tuple[float, float]] = {}
        self.clock_checked_at = leases.NEVER
        self.next_window = NO_WINDOW
        self.repeated_window = NO_WINDOW
        self.step = ReportStep.COLLECTING
        self.report: UsageRecord | None = None
        self.written: UsageRecord | None = None
        self.fencing_token = 0
        self.retry_at = now


class Usage:
    """All that an instance keeps about usage.

    Attributes:
      clock: How it knows the wall-clock time.
      own: Its own counts.
      record: The newest report that was ever seen in the store, or None.
      collection: What it collects as coordinator, or None.
    """

    __slots__ = ("clock", "own", "record", "collection")

    def __init__(self) -> None:
        self.clock = UsageClock()
        self.own = UsageCounts()
        self.record: UsageRecord | None = None
        self.collection: UsageCollection | None = None
