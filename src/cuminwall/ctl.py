"""cuminctl: the operators' command-line tool.

Exit codes: 0 done, 1 refused or not confirmed everywhere, 2 faults in what
was given, 3 the platform's store gives no answer.
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
    """Returns the commands and the flags."""
    lines = ["usage: cuminctl COMMAND [FLAGS]", "", "commands:"]
    for command in COMMANDS.values():
        lines.append(f"  {command.usage}")
    lines += ["", "flags:", values.get_help().strip("\n")]
    return "\n".join(lines)


def find_command(words: list[str]) -> tuple[Command, list[str]] | None:
    """Returns the command that the words name and its arguments."""
    for length in (2, 1):
        command = COMMANDS.get(tuple(words[:length]))
        if command is None:
            continue
        args = words[length:]
        # `settings --doc` is the one command that may come without its file.
        is_short = command.run is ctlcommands.check_settings and not args
        if len(args) == command.arity or is_short:
            return command, args
    return None


async def execute(argv: list[str], platform: Platform | None = None) -> Report:
    """Carries out one call of the tool.

    Args:
      argv: The program's name and what follows it.
      platform: The platform's services; None connects to those of the flags.
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
    """Returns the platform's services that the flags name."""
    from cuminwall import instancelist, store

    where = (values.endpoint, values.zone, values.timeout_s)
    keyvalues = store.EtcdStore(*where)
    instances = instancelist.HttpInstanceList(*where)
    stack.push_async_callback(keyvalues.close)
    stack.push_async_callback(instances.close)
    return Platform(keyvalues, instances)


def print_report(made: Report, out: TextIO, errors: TextIO) -> int:
    """Prints a report and returns its exit code."""
    if made.text:
        print(made.text, file=out)
    if made.note:
        print(made.note, file=errors)
    return made.code


def run() -> None:
    """The entry point of the `cuminctl` program."""
    # What the tool has to say of the store is in its report.
    logger.remove()
    try:
        made = asyncio.run(execute(sys.argv))
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(print_report(made, sys.stdout, sys.stderr))


if __name__ == "__main__":
    run()
