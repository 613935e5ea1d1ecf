"""Writes lines to standard output or error without ever blocking.

While nobody reads a full pipe, a write to it holds up the event loop and all
that the process serves. Lines that find no room are dropped, and counted.
"""

import contextlib
import os
import stat
import time
from collections.abc import Callable

FLUSH_S = 0.05  # How long lines are collected before they are written.
MAX_PENDING_BYTES = 1024 * 1024
FINISH_S = 0.5  # How long the end of a process waits for the reader.
FINISH_CHECK_S = 0.005

CallLater = Callable[[float, Callable[[], None]], object]


class Output:
    """Lines for one file descriptor.

    Attributes:
      descriptor: The file descriptor to write to.
      call_later: Schedules a call after so many seconds; None writes with each
        line.
      pending: The bytes to be written.
      unread_count: How many lines were dropped since they were not read.
      is_flush_due: Whether a flush is scheduled.
    """

    def __init__(self, descriptor: int, call_later: CallLater | None = None):
        self.descriptor = open_nonblocking(descriptor)
        self.call_later = call_later
        self.pending = bytearray()
        self.unread_count = 0
        self.is_flush_due = False

    def write(self, line: bytes) -> bool:
        """Takes a line, with its end; returns whether there was room."""
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.unread_count += 1
            return False
        self.pending += line
        if self.call_later is None:
            self.flush()
        else:
            self._schedule_flush(self.call_later)
        return True

    def flush(self) -> None:
        """Writes pending lines, as far as possible without blocking."""
        self.is_flush_due = False
        if not self.pending:
            return
        try:
            count = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            count = 0
        except OSError:
            # The reader is gone, so this failure can't be logged either.
            self.unread_count += self.pending.count(b"\n")
            self.pending.clear()
            return
        del self.pending[:count]
        if self.pending and self.call_later is not None:
            self._schedule_flush(self.call_later)

    def finish(self, timeout_s: float) -> None:
        """Writes pending lines before the process ends; waits for room.

        Args:
          timeout_s: How long to wait for a reader, in seconds.
        """
        deadline = time.monotonic() + timeout_s
        self.flush()
        while self.pending and time.monotonic() < deadline:
            time.sleep(FINISH_CHECK_S)
            self.flush()

    def _schedule_flush(self, call_later: CallLater) -> None:
        """Schedules a flush, unless one is scheduled."""
        if self.is_flush_due:
            return
        self.is_flush_due = True
        call_later(FLUSH_S, self.flush)


def open_nonblocking(descriptor: int) -> int:
    """Returns a descriptor of the same file whose writes don't block.

    Other processes may share an inherited pipe or terminal, and some don't
    expect that a write finds no room. So it is opened anew; a socket can't be.
    """
    # A descriptor that is closed is found out by the first write.
    with contextlib.suppress(OSError):
        if stat.S_ISREG(os.fstat(descriptor).st_mode):
            return descriptor
        with contextlib.suppress(OSError):
            path = f"/proc/self/fd/{descriptor}"
            flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
            return os.open(path, flags)
        os.set_blocking(descriptor, False)
    return descriptor
