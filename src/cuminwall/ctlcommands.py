"""The commands of `cuminctl`."""

import functools
import json
import pathlib
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import aiohttp
from absl import flags

from cuminwall import (
    configapply,
    configchange,
    configstore,
    console,
    document,
    edits,
    fleet,
    keys,
    operatorfile,
    settings,
    settingspage,
)
from cuminwall.configapply import (
    Applied,
    ApplyResult,
    Refused,
    StoreUnavailable,
)
from cuminwall.ctltext import (
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_STORE_UNAVAILABLE,
    STORE_UNAVAILABLE_TEXT,
    Report,
    format_change,
    format_status,
    make_report,
)
from cuminwall.exceptions import StoreUnavailableError
from cuminwall.faults import Fault
from cuminwall.ports import InstanceListPort, StorePort

STATES = {"out": document.OUT, "in": document.SERVING}


class Platform(NamedTuple):
    """The platform's services."""

    store: StorePort
    instances: InstanceListPort


class Invocation(NamedTuple):
    """One call of the tool.

    Attributes:
      args: The arguments after the names of the command.
      flags: The flags.
      connect: Returns the platform's services; not called by commands that
        work without them.
    """

    args: list[str]
    flags: flags.FlagValues
    connect: Callable[[], Platform]


class Command(NamedTuple):
    """One command.

    Attributes:
      usage: Its names and arguments.
      arity: How many arguments it takes.
      run: Carries it out.
    """

    usage: str
    arity: int
    run: Callable[[Invocation], Awaitable[Report]]


def _read_text(path: str) -> str | list[Fault]:
    """Returns the text of a file."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [Fault((path,), str(error), "a readable text file")]


def _read_file(path: str) -> operatorfile.OperatorFile | list[Fault]:
    """Returns the operator's file."""
    text = _read_text(path)
    return text if isinstance(text, list) else operatorfile.read(text)


async def check(call: Invocation) -> Report:
    """Checks a file without a call of the store."""
    found = _read_file(call.args[0])
    if isinstance(found, list):
        return make_report(Refused(found))
    return Report(EXIT_OK, "no faults")


async def check_settings(call: Invocation) -> Report:
    """Checks a settings file, or prints the page of settings."""
    if call.flags.doc:
        return Report(EXIT_OK, settingspage.write().rstrip("\n"))
    if not call.args:
        return make_report(
            Refused([Fault(("FILE",), "nothing", "a file or --doc")])
        )
    text = _read_text(call.args[0])
    found = text if isinstance(text, list) else settings.read(text, b"")
    if isinstance(found, list):
        return make_report(Refused(found))
    return Report(EXIT_OK, "no faults")


async def apply(call: Invocation) -> Report:
    """Puts the document of a file in force."""
    found = _read_file(call.args[0])
    if isinstance(found, list):
        return make_report(Refused(found))
    base_version = found.base_version
    if call.flags.base is not None:
        base_version = call.flags.base
    origin = configchange.make_change_metadata(base_version, call.flags.author)
    store = call.connect().store
    result = await configapply.apply(store, found.document, origin)
    return await _finish(call, result)


async def show(call: Invocation) -> Report:
    """Prints the document in force."""
    snapshot = await configstore.load(call.connect().store)
    text = operatorfile.write(
        snapshot.document, snapshot.head.version, call.flags.secrets
    )
    return Report(EXIT_OK, text)


async def history(call: Invocation) -> Report:
    """Prints the last changes."""
    store = call.connect().store
    changes = await configstore.read_history(store, call.flags.count)
    return Report(EXIT_OK, "\n".join(format_change(item) for item in changes))


async def create_key(call: Invocation) -> Report:
    """Makes a key and prints its secret, this once."""
    workspace = call.args[0]
    new = keys.create(workspace, secrets.token_bytes(keys.ENTROPY_BYTES))
    edit = functools.partial(edits.add_key, workspace=workspace, key=new)
    result = await _change(call, edit)
    if isinstance(result, StoreUnavailable) and result.may_be_applied:
        made = make_report(result)
        hint = f"the key would be {new.key_id}; withdraw it if it is there"
        return made._replace(note=f"{made.note}\n{hint}")
    finished = await _finish(call, result)
    if not isinstance(result, Applied):
        return finished
    lines = [
        finished.text,
        f"key     {new.key_id}",
        f"secret  {new.secret}",
        "The secret is shown this once; only its verifier is kept.",
    ]
    return finished._replace(text="\n".join(lines))


async def withdraw_key(call: Invocation) -> Report:
    """Withdraws a key."""
    edit = functools.partial(edits.withdraw_key, key_id=call.args[0])
    return await _finish(call, await _change(call, edit))


async def set_zone(state: str, call: Invocation) -> Report:
    """Takes an availability zone out of service or back in."""
    edit = functools.partial(
        edits.set_zone_state, zone=call.args[0], state=STATES[state]
    )
    return await _finish(call, await _change(call, edit))


async def set_server(state: str, call: Invocation) -> Report:
    """Takes a backend server out of service or back in."""
    edit = functools.partial(
        edits.set_server_state,
        service=call.args[0],
        server=call.args[1],
        state=STATES[state],
    )
    return await _finish(call, await _change(call, edit))


async def status(call: Invocation) -> Report:
    """Prints what each instance says of itself and its database groups."""
    records = await call.connect().instances.list_instances()
    async with aiohttp.ClientSession() as session:
        statuses = await fleet.query_each(
            records, _make_status_query(call, session)
        )
    is_whole = all(item.report is not None for item in statuses)
    code = EXIT_OK if is_whole else EXIT_REFUSED
    if call.flags.json:
        return Report(code, json.dumps([_as_json(item) for item in statuses]))
    return Report(code, format_status(statuses))


async def serve_console(call: Invocation) -> Report:
    """Serves the console until it is interrupted."""
    store = call.connect().store
    await console.serve(store, call.flags.author, call.flags.port)
    return Report(EXIT_OK, "")


def _as_json(item: fleet.InstanceStatus) -> dict[str, Any]:
    """Returns the status of an instance as JSON values."""
    return {
        **item.record._asdict(),
        "failure": item.failure,
        "status": item.report,
    }


def _make_status_query(
    call: Invocation, session: aiohttp.ClientSession
) -> fleet.StatusQuery:
    """Returns the function that asks an instance."""
    return fleet.make_status_query(
        session, call.flags.http_port, call.flags.timeout_s
    )


async def _change(
    call: Invocation, edit: Callable[[document.Document], edits.EditResult]
) -> ApplyResult:
    """Applies an edit to the document in force."""
    store = call.connect().store
    return await configchange.apply_edit(store, edit, call.flags.author)


async def _finish(call: Invocation, result: ApplyResult) -> Report:
    """Returns the report of a change, after the wait that was asked for."""
    made = make_report(result)
    if not call.flags.wait or not isinstance(result, Applied):
        return made
    async with aiohttp.ClientSession() as session:
        rollout = await fleet.wait_for_version(
            call.connect().instances,
            _make_status_query(call, session),
            result.version,
            call.flags.wait_s,
        )
    waited = make_report(rollout)
    text = f"{made.text}\n{waited.text}".rstrip("\n")
    return Report(waited.code, text, waited.note)


COMMANDS: dict[tuple[str, ...], Command] = {
    ("check",): Command("check FILE", 1, check),
    ("apply",): Command("apply FILE [--base=N] [--wait]", 1, apply),
    ("show",): Command("show [--secrets]", 0, show),
    ("history",): Command("history [--count=N]", 0, history),
    ("key", "create"): Command("key create WORKSPACE [--wait]", 1, create_key),
    ("key", "withdraw"): Command("key withdraw ID [--wait]", 1, withdraw_key),
    ("zone", "out"): Command(
        "zone out NAME [--wait]", 1, functools.partial(set_zone, "out")
    ),
    ("zone", "in"): Command(
        "zone in NAME [--wait]", 1, functools.partial(set_zone, "in")
    ),
    ("server", "out"): Command(
        "server out SERVICE ID [--wait]",
        2,
        functools.partial(set_server, "out"),
    ),
    ("server", "in"): Command(
        "server in SERVICE ID [--wait]", 2, functools.partial(set_server, "in")
    ),
    ("status",): Command("status [--json]", 0, status),
    ("console",): Command("console [--port=N]", 0, serve_console),
    ("settings",): Command("settings FILE | settings --doc", 1, check_settings),
}


async def run(command: Command, call: Invocation) -> Report:
    """Carries out a command."""
    try:
        return await command.run(call)
    except StoreUnavailableError as error:
        note = f"{STORE_UNAVAILABLE_TEXT}: {error}"
        return Report(EXIT_STORE_UNAVAILABLE, "", note)
