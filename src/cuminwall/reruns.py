"""Runs background loops that an unexpected error must not end."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

RERUN_S = 0.5  # Pause before a loop that ended is run again.
MAX_FRAMES = 4  # Calls named in the log line of an error.


async def run_forever(
    part: str, make_coroutine: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Runs a coroutine function forever, again whenever it ends.

    Args:
      part: The part of the program that the log lines of errors name.
      make_coroutine: The coroutine function.
    """
    while True:
        try:
            await make_coroutine()
        except Exception as error:
            logger.error("{}: {!r} {}", part, error, find_place(error))
        await asyncio.sleep(RERUN_S)


def find_place(error: Exception) -> str:
    """Returns the innermost calls that led to an error, for one log line."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return " > ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
