"""The HTML of the console; every value is escaped here."""

import html
import importlib.resources
import string
from collections.abc import Iterable
from typing import NamedTuple

from cuminwall import configapply, consoleforms, document
from cuminwall.confighead import Change, Snapshot
from cuminwall.consoleforms import NEW_ROW_KEY, Row
from cuminwall.consolesections import (
    SECTIONS,
    STATE,
    Column,
    Section,
)
from cuminwall.ctltext import format_change, make_report
from cuminwall.faults import Fault

MAX_ROWS = 100
KEYS_PAGE = "keys"
HISTORY_PAGE = "history"
KEYS_HELP = "Only verifiers are kept; a secret is shown once, when it is made."
GOOD = "good"
BAD = "bad"
WARN = "warn"
DELETE_TITLE = '<th class="delete">Delete</th>'
NEW_HINT = "new"


class Message(NamedTuple):
    """What is said above the form.

    Attributes:
      kind: `GOOD`, `BAD` or `WARN`.
      text: One sentence.
      items: Lines below it.
    """

    kind: str
    text: str
    items: tuple[str, ...] = ()


class Page(NamedTuple):
    """What every page needs.

    Attributes:
      snapshot: The configuration that is shown.
      form_token: The token that each form sends back.
      query: Only rows whose name holds it are shown.
      messages: What is said above the form.
    """

    snapshot: Snapshot
    form_token: str
    query: str = ""
    messages: tuple[Message, ...] = ()


def _read(name: str) -> str:
    """Returns a file of this package."""
    folder = importlib.resources.files("cuminwall")
    return (folder / name).read_text(encoding="utf-8")


TEMPLATE = string.Template(_read("console.html"))
CSS = _read("console.css")


def _escape(value: object) -> str:
    """Returns a value as text that is safe in HTML and in attributes."""
    return html.escape(str(value), quote=True)


def _wrap(page: Page, name: str, title: str, help_text: str, body: str) -> str:
    """Returns a whole page."""
    links = []
    names = [(item.name, item.title) for item in SECTIONS]
    names[1:1] = [(KEYS_PAGE, "Keys")]
    for target, label in [*names, (HISTORY_PAGE, "History")]:
        current = ' aria-current="page"' if target == name else ""
        links.append(f'<a href="{target}"{current}>{_escape(label)}</a>')
    return TEMPLATE.substitute(
        title=_escape(title),
        help=_escape(help_text),
        nav="\n".join(links),
        version=page.snapshot.head.version or "none yet",
        messages="\n".join(_message(item) for item in page.messages),
        body=body,
    )


def _message(message: Message) -> str:
    """Returns a message."""
    text = f"<p>{_escape(message.text)}</p>"
    if message.items:
        lines = "".join(f"<li>{_escape(item)}</li>" for item in message.items)
        text += f"<ul>{lines}</ul>"
    return f'<div class="message {message.kind}" role="status">{text}</div>'


def _form(page: Page, body: str, button: str) -> str:
    """Returns a form that tells which version it was made from."""
    return (
        '<form method="post" autocomplete="off">'
        f'<input type="hidden" name="token" value="{_escape(page.form_token)}">'
        '<input type="hidden" name="base_version" '
        f'value="{page.snapshot.head.version}">'
        f"{body}"
        f'<div class="actions"><button>{_escape(button)}</button></div></form>'
    )


def _filter(page: Page, count: int, shown: int) -> str:
    """Returns the field by which rows are searched, when there are many."""
    if not page.query and count <= MAX_ROWS:
        return ""
    return (
        '<form class="filter" method="get">'
        f'<input type="text" name="q" value="{_escape(page.query)}" '
        'aria-label="Part of a name"><button>Search</button></form>'
        f'<p class="help">{shown} of {count} are shown.</p>'
    )


def section_page(
    page: Page,
    section: Section,
    rows: Iterable[Row],
    faults: tuple[Fault, ...] = (),
) -> str:
    """Returns the form of a section with each fault beside its field."""
    whole = list(rows)
    shown = []
    for row in whole[:-1]:
        if page.query.lower() in row.key.lower():
            shown.append(row)
    shown = shown[:MAX_ROWS]
    lines = []
    placed: set[Fault] = set()
    for row in [*shown, whole[-1]]:
        lines.append(_row(page, section, row, faults, placed))
    rest = [fault for fault in faults if fault not in placed]
    if rest:
        items = tuple(str(fault) for fault in rest)
        message = Message(BAD, "Faults elsewhere:", items)
        page = page._replace(messages=(*page.messages, message))
    titles = "".join(f"<th>{_escape(c.label)}</th>" for c in section.columns)
    table = (
        f"<table><thead><tr>{titles}{DELETE_TITLE}</tr></thead>"
        f"<tbody>{''.join(lines)}</tbody></table>"
    )
    body = _filter(page, len(whole) - 1, len(shown))
    body += _form(page, table, "Apply")
    return _wrap(page, section.name, section.title, section.help, body)


def _row(
    page: Page,
    section: Section,
    row: Row,
    faults: tuple[Fault, ...],
    placed: set[Fault],
) -> str:
    """Returns a row; adds the faults shown beside it to `placed`."""
    cells = []
    for column in section.columns:
        found = consoleforms.field_faults(row, column, faults)
        placed.update(found)
        cells.append(_cell(page, row, column, found))
    if row.key == NEW_ROW_KEY:
        return f'<tr class="new">{"".join(cells)}<td></td></tr>'
    checked = " checked" if row.is_deleted else ""
    name = _escape(f"{row.key}|delete")
    cells.append(
        f'<td class="delete"><input type="checkbox" name="{name}" '
        f'aria-label="Delete {_escape(row.key)}"{checked}></td>'
    )
    return f"<tr>{''.join(cells)}</tr>"


def _cell(page: Page, row: Row, column: Column, found: list[Fault]) -> str:
    """Returns a field and the faults beside it."""
    value = consoleforms.format_value(column, row.values.get(column.name))
    notes = ""
    for fault in found:
        note = f"found {fault.found}, expected {fault.expected}"
        notes += f'<div class="fault">{_escape(note)}</div>'
    if column.is_key and row.key != NEW_ROW_KEY:
        return f'<td class="name">{_escape(value)}{notes}</td>'
    name = _escape(f"{row.key}|{column.name}")
    invalid = ' aria-invalid="true"' if found else ""
    attributes = f'name="{name}" aria-label="{_escape(column.label)}"{invalid}'
    if column.kind == STATE:
        field = _select(
            attributes,
            (document.SERVING, document.OUT),
            value,
        )
    else:
        hint = NEW_HINT if row.key == NEW_ROW_KEY else ""
        field = (
            f'<input type="text" {attributes} value="{_escape(value)}" '
            f'placeholder="{hint}">'
        )
    return f"<td>{field}{notes}</td>"


def _select(attributes: str, choices: Iterable[str], chosen: str) -> str:
    """Returns a field with a choice."""
    options = []
    for choice in choices:
        mark = " selected" if choice == chosen else ""
        options.append(f"<option{mark}>{_escape(choice)}</option>")
    return f"<select {attributes}>{''.join(options)}</select>"


def keys_page(page: Page) -> str:
    """Returns the page of keys."""
    value = page.snapshot.document
    names = sorted(name for name in value["keys"] if page.query in name)
    shown = names[:MAX_ROWS]
    lines = []
    for name in shown:
        workspace = _escape(value["keys"][name]["workspace"])
        box = _escape(f"withdraw|{name}")
        lines.append(
            f'<tr><td class="name">{_escape(name)}</td><td>{workspace}</td>'
            f'<td class="delete"><input type="checkbox" name="{box}" '
            f'aria-label="Withdraw {_escape(name)}"></td></tr>'
        )
    table = (
        '<table class="plain"><thead><tr><th>Key</th><th>Workspace</th>'
        '<th class="delete">Withdraw</th></tr></thead>'
        f"<tbody>{''.join(lines)}</tbody></table>"
    )
    workspaces = sorted(value["workspaces"])
    select = _select('name="workspace" aria-label="Workspace"', workspaces, "")
    body = _filter(page, len(value["keys"]), len(shown))
    if lines:
        body += _form(page, table, "Withdraw the marked keys")
    body += "<h2>New key</h2>"
    body += _form(page, f'<div class="filter">{select}</div>', "Create a key")
    return _wrap(page, KEYS_PAGE, "Keys", KEYS_HELP, body)


def history_page(page: Page, changes: Iterable[Change]) -> str:
    """Returns the page of the last changes, newest first."""
    lines = []
    for change in reversed(list(changes)):
        head, *items = format_change(change).split("\n")
        entries = "".join(f"<li>{_escape(item.strip())}</li>" for item in items)
        lines.append(f"<h2>{_escape(head)}</h2>")
        lines.append(f'<ul class="lines">{entries}</ul>')
    help_text = "The last changes, with what each made different."
    return _wrap(page, HISTORY_PAGE, "History", help_text, "".join(lines))


def make_result_messages(
    result: configapply.ApplyResult,
) -> tuple[Message, ...]:
    """Returns what is said of the result of a change."""
    made = make_report(result)
    if isinstance(result, configapply.Applied):
        return (Message(GOOD, made.text),)
    if isinstance(result, configapply.Refused):
        return (Message(BAD, "Refused: nothing was applied."),)
    head, *items = made.note.split("\n")
    kind = WARN if isinstance(result, configapply.Conflict) else BAD
    return (Message(kind, head, tuple(item.strip() for item in items)),)
