"""Configures logging to standard error, as text or as JSON."""

import logging
import sys

from loguru import logger

from cuminwall import settings

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {message}"


def configure(log_settings: settings.Log) -> None:
    """Sends log lines to standard error in the configured format."""
    # The module `links` logs the events of links itself.
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logger.remove()
    is_json = log_settings.format == "json"
    logger.add(
        sys.stderr,
        level=log_settings.level.upper(),
        format="{message}" if is_json else TEXT_FORMAT,
        serialize=is_json,
        backtrace=False,
        diagnose=False,
    )
