"""Log lines: one a decision, with a fixed prefix, as text or as JSON."""

import logging
import sys

from loguru import logger

from cuminwall import settings

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {message}"


def configure(own: settings.Log) -> None:
    """Writes log lines to standard error from now on."""
    # The decisions of links are logged by their own part.
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logger.remove()
    is_json = own.format == "json"
    logger.add(
        sys.stderr,
        level=own.level.upper(),
        format="{message}" if is_json else TEXT_FORMAT,
        serialize=is_json,
        backtrace=False,
        diagnose=False,
    )
