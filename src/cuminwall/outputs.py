"""Writes lines to standard output or error without ever blocking.

While nobody reads a full pipe, a write to it holds up the event loop and all
that the process serves. Lines that find no room are dropped, and counted.
"""

import contextlib
import os
import stat
from collections.abc import Callable

FLUSH_S = 0.05  # How long lines are collected before they are written.
MAX_PENDING_BYTES = 1024 * 1024

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

    def _schedule_flush(self, call_later: CallLater) -> None:
        """Schedules a flush, unless one is scheduled."""
        if self.is_flush_due:
            return
        self.is_flush_due = True
        call_later(FLUSH_S, self.flush)


def open_nonblocking(descriptor: int) -> int:
    """Returns a descriptor of the same file whose writes don't block.

    Other processes may share an inherited pipe, and some don't expect that a
    write finds no room. So the pipe is opened anew. Files don't block.
    """
    # A descriptor that is closed is found out by the first write.
    with contextlib.suppress(OSError):
        mode = os.fstat(descriptor).st_mode
        if not (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
            return descriptor
        with contextlib.suppress(OSError):
            path = f"/proc/self/fd/{descriptor}"
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        os.set_blocking(descriptor, False)
    return descriptor
