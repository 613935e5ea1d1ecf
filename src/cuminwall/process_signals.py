"""Signals to a process that is starting.

The default action of most signals ends a process, and the modules of an
instance take a good part of a second to import. Signals are therefore held from
the first line on. A signal that is held stays pending, while one that is
ignored would be lost.
"""

import asyncio
import signal
from collections.abc import Callable, Mapping

HELD = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def hold() -> None:
    """Holds the signals that an instance handles, until it handles them.

    Threads that are started meanwhile, and processes, hold them for good.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


def handle(
    loop: asyncio.AbstractEventLoop,
    actions: Mapping[signal.Signals, Callable[[], None]],
) -> None:
    """Handles signals in the event loop from now on, also those held so far.

    Args:
      loop: The event loop.
      actions: What is called for each signal.
    """
    for number, action in actions.items():
        loop.add_signal_handler(number, action)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, actions)
