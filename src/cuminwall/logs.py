"""Configures logging to standard error, as text or as JSON."""

import atexit
import json
import logging
import sys
from collections.abc import Callable

from loguru import logger

from cuminwall import outputs, settings

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level: <7} {message}"


def configure(log_settings: settings.Log) -> None:
    """Sends log lines to standard error in the configured format."""
    # The module `links` logs the events of links itself.
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logger.remove()
    is_json = log_settings.format == "json"
    output = outputs.Output(sys.stderr.fileno())
    atexit.register(output.finish, outputs.FINISH_S)
    logger.add(
        _make_sink(output, is_json),
        level=log_settings.level.upper(),
        format="{message}" if is_json else TEXT_FORMAT,
        serialize=is_json,
        backtrace=False,
        diagnose=False,
    )


def _make_sink(output: outputs.Output, is_json: bool) -> Callable[[str], None]:
    """Returns a sink that never blocks and tells how many lines it dropped."""

    def sink(text: str) -> None:
        if output.unread_count:
            note = f"log: {output.unread_count} lines dropped"
            line = json.dumps({"text": note}) if is_json else note
            if output.write(f"{line}\n".encode()):
                output.unread_count = 0
        output.write(text.encode())

    return sink
