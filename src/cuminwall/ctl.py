"""cuminctl: the operators' command-line tool.

Exit codes: 0 done, 1 refused or not confirmed everywhere, 2 faults in the
input, 3 the platform's store does not answer.
"""

import asyncio
import contextlib
import sys
from typing import TextIO

from absl import flags
from loguru import logger

from cuminwall import ctlcommands, ctlflags
from cuminwall.ctlcommands import COMMANDS, Command, Invocation, Platform
from cuminwall.ctltext import EXIT_FAULTS, EXIT_OK, Report

EXIT_INTERRUPTED = 130
HELP_WORDS = ("help", "--help", "-h")


def usage(values: flags.FlagValues) -> str:
    """Returns the help text: the commands and the flags."""
    lines = ["usage: cuminctl COMMAND [FLAGS]", "", "commands:"]
    for command in COMMANDS.values():
        lines.append(f"  {command.usage}")
    lines += ["", "flags:", values.get_help().strip("\n")]
    return "\n".join(lines)


def find_command(words: list[str]) -> tuple[Command, list[str]] | None:
    """Returns the command that the words name, and its arguments."""
    for length in (2, 1):
        command = COMMANDS.get(tuple(words[:length]))
        if command is None:
            continue
        args = words[length:]
        # `settings --doc` is the only command whose argument is optional.
        may_omit = command.run is ctlcommands.check_settings and not args
        if len(args) == command.arity or may_omit:
            return command, args
    return None


async def execute(argv: list[str], platform: Platform | None = None) -> Report:
    """Runs one command line of the tool.

    Args:
      argv: The program's name and its arguments.
      platform: The platform's services; None connects to those in the flags.
    """
    values = ctlflags.make_flags()
    if len(argv) > 1 and argv[1] in HELP_WORDS:
        values.mark_as_parsed()
        return Report(EXIT_OK, usage(values))
    try:
        words = values(argv)[1:]
    except flags.Error as error:
        return Report(EXIT_FAULTS, "", str(error))
    found = find_command(words)
    if found is None:
        return Report(EXIT_FAULTS, "", usage(values))
    command, args = found
    async with contextlib.AsyncExitStack() as stack:

        def connect() -> Platform:
            return platform or _connect(values, stack)

        return await ctlcommands.run(command, Invocation(args, values, connect))


def _connect(
    values: flags.FlagValues, stack: contextlib.AsyncExitStack
) -> Platform:
    """Returns the platform's services at the endpoint in the flags."""
    from cuminwall import instancelist, store

    target = (values.endpoint, values.zone, values.timeout_s)
    keyvalues = store.EtcdStore(*target)
    instances = instancelist.HttpInstanceList(*target)
    stack.push_async_callback(keyvalues.close)
    stack.push_async_callback(instances.close)
    return Platform(keyvalues, instances)


def print_report(report: Report, out: TextIO, errors: TextIO) -> int:
    """Prints a report and returns its exit code."""
    if report.text:
        print(report.text, file=out)
    if report.note:
        print(report.note, file=errors)
    return report.code


def run() -> None:
    """The entry point of the `cuminctl` program."""
    # The report already describes store errors, so nothing is logged.
    logger.remove()
    try:
        report = asyncio.run(execute(sys.argv))
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(print_report(report, sys.stdout, sys.stderr))


if __name__ == "__main__":
    run()
