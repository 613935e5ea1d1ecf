"""The operators' console: forms on the operator's own machine.

It listens on 127.0.0.1 only. The address holds a random token, and each form
sends back another one, so that no other page can read or send anything.
"""

import asyncio
import functools
import hmac
import secrets
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from aiohttp import web

from cuminwall import (
    configapply,
    configchange,
    configdiff,
    configstore,
    consoleforms,
    consolepages,
    consolesections,
    document,
    edits,
    keys,
)
from cuminwall.configapply import Applied, StoreUnavailable
from cuminwall.confighead import Snapshot
from cuminwall.consolepages import BAD, GOOD, WARN, Message, Page
from cuminwall.consolesections import Section
from cuminwall.document import Document
from cuminwall.exceptions import StoreUnavailableError
from cuminwall.faults import Fault
from cuminwall.ports import StorePort

HOST = "127.0.0.1"
TOKEN_BYTES = 24
KEPT_SNAPSHOTS = 20
HISTORY_COUNT = 50
MAX_FORM_BYTES = 4_000_000
HEADERS = {
    "Cache-Control": "no-store",
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    "Referrer-Policy": "same-origin",
    "X-Content-Type-Options": "nosniff",
}
TOO_OLD = Message(WARN, "The page is too old; nothing was applied.")


class Tokens(NamedTuple):
    """The token in the address and the one in forms."""

    address: str
    form: str


def make_tokens() -> Tokens:
    """Returns new random tokens."""
    address = secrets.token_urlsafe(TOKEN_BYTES)
    return Tokens(address, secrets.token_urlsafe(TOKEN_BYTES))


class Console:
    """Serves the forms.

    Attributes:
      store: The platform's store.
      author: Who makes the changes.
      tokens: The tokens.
      snapshots: The versions that were shown last.
      port: The port that it listens on.
    """

    def __init__(self, store: StorePort, author: str, tokens: Tokens):
        self.store = store
        self.author = author
        self.tokens = tokens
        self.snapshots: dict[int, Snapshot] = {}
        self.port = 0
        self.runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """The address for the operator's browser."""
        return f"http://{HOST}:{self.port}/{self.tokens.address}/workspaces"

    async def start(self, port: int) -> None:
        """Listens; port 0 lets the system choose."""
        application = web.Application(
            middlewares=[self._guard], client_max_size=MAX_FORM_BYTES
        )
        router = application.router
        router.add_get("/{token}/console.css", self._css)
        router.add_get("/{token}/keys", self._show_keys)
        router.add_post("/{token}/keys", self._change_keys)
        router.add_get("/{token}/history", self._show_history)
        for section in consolesections.SECTIONS:
            show = functools.partial(self._show_section, section)
            change = functools.partial(self._change_section, section)
            router.add_get("/{token}/" + section.name, show)
            router.add_post("/{token}/" + section.name, change)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, port).start()
        self.port = self.runner.addresses[0][1]

    async def close(self) -> None:
        """Stops listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    @web.middleware
    async def _guard(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Lets only the operator's own pages in."""
        # Another name for this address would be another site to a browser.
        if request.host != f"{HOST}:{self.port}":
            raise web.HTTPForbidden
        token = request.match_info.get("token", "")
        if not _is_same(token, self.tokens.address):
            raise web.HTTPForbidden
        if request.method == "POST":
            form = await request.post()
            if not _is_same(str(form.get("token", "")), self.tokens.form):
                raise web.HTTPForbidden
        try:
            response = await handler(request)
        except StoreUnavailableError as error:
            text = f"The platform's store gives no answer: {error}"
            response = web.Response(status=503, text=text)
        response.headers.update(HEADERS)
        return response

    async def _css(self, request: web.Request) -> web.Response:
        return web.Response(text=consolepages.CSS, content_type="text/css")

    async def _page(
        self, request: web.Request, messages: tuple[Message, ...] = ()
    ) -> Page:
        """Returns a page that shows the configuration in force."""
        latest = None
        if self.snapshots:
            latest = self.snapshots[max(self.snapshots)]
        snapshot = await configstore.load_changed(self.store, latest)
        self.snapshots[snapshot.head.version] = snapshot
        while len(self.snapshots) > KEPT_SNAPSHOTS:
            del self.snapshots[min(self.snapshots)]
        query = request.query.get("q", "")
        return Page(snapshot, self.tokens.form, query, messages)

    async def _show_section(
        self,
        section: Section,
        request: web.Request,
        messages: tuple[Message, ...] = (),
    ) -> web.Response:
        """Shows the form of a section as it is in force."""
        page = await self._page(request, messages)
        rows = consoleforms.make_rows(section, page.snapshot.document)
        return _respond(consolepages.section_page(page, section, rows))

    async def _change_section(
        self, section: Section, request: web.Request
    ) -> web.Response:
        """Applies a sent form, or shows it again with its faults."""
        form = await _read_form(request)
        base = self._base_of(form)
        if base is None:
            return await self._show_section(section, request, (TOO_OLD,))
        filled = consoleforms.apply_form(section, base.document, form)
        faults = _check(filled)
        if faults:
            page = Page(
                base,
                self.tokens.form,
                request.query.get("q", ""),
                (Message(BAD, "Refused: nothing was applied."),),
            )
            text = consolepages.section_page(page, section, filled.rows, faults)
            return _respond(text)
        messages = await self._apply(base, filled.document)
        return await self._show_section(section, request, messages)

    def _base_of(self, form: dict[str, str]) -> Snapshot | None:
        """Returns the version that a form was made from, if still known."""
        text = form.get("base_version", "")
        return self.snapshots.get(int(text)) if text.isdecimal() else None

    async def _apply(
        self, base: Snapshot, changed: Document
    ) -> tuple[Message, ...]:
        """Applies a document; returns what is to be said of it."""
        origin = configchange.make_change_metadata(
            base.head.version, self.author
        )
        result = await configapply.apply(self.store, changed, origin)
        messages = consolepages.make_result_messages(result)
        if isinstance(result, Applied):
            return messages
        normal = document.normalize(dict(changed))
        own = []
        for difference in configdiff.diff(base.document, normal):
            own.append(str(configdiff.hide_secrets(difference)))
        text = "What you changed and is not applied:"
        if isinstance(result, StoreUnavailable) and result.may_be_applied:
            text = "What you changed and may be applied:"
        return (*messages, Message(WARN, text, tuple(own)))

    async def _show_keys(
        self, request: web.Request, messages: tuple[Message, ...] = ()
    ) -> web.Response:
        """Shows the keys."""
        page = await self._page(request, messages)
        return _respond(consolepages.keys_page(page))

    async def _change_keys(self, request: web.Request) -> web.Response:
        """Creates a key or withdraws the marked ones."""
        form = await _read_form(request)
        if "workspace" in form:
            messages = await self._create_key(form["workspace"])
            return await self._show_keys(request, messages)
        base = self._base_of(form)
        if base is None:
            return await self._show_keys(request, (TOO_OLD,))
        value: edits.EditResult = base.document
        for name in form:
            key_id = name.removeprefix("withdraw|")
            if key_id == name or isinstance(value, Fault):
                continue
            value = edits.withdraw_key(value, key_id)
        if isinstance(value, Fault):
            message = Message(BAD, str(value))
            return await self._show_keys(request, (message,))
        messages = await self._apply(base, value)
        return await self._show_keys(request, messages)

    async def _create_key(self, workspace: str) -> tuple[Message, ...]:
        """Creates a key; returns what is to be said of it."""
        new = keys.create(workspace, secrets.token_bytes(keys.ENTROPY_BYTES))
        edit = functools.partial(edits.add_key, workspace=workspace, key=new)
        result = await configchange.apply_edit(self.store, edit, self.author)
        messages = consolepages.make_result_messages(result)
        if isinstance(result, StoreUnavailable) and result.may_be_applied:
            text = f"The key would be {new.key_id}; withdraw it if it is there."
            return (*messages, Message(WARN, text))
        if not isinstance(result, Applied):
            return messages
        shown = (f"key: {new.key_id}", f"secret: {new.secret}")
        text = "Copy the secret now: only its verifier is kept."
        return (*messages, Message(GOOD, text, shown))

    async def _show_history(self, request: web.Request) -> web.Response:
        """Shows the last changes."""
        page = await self._page(request)
        changes = await configstore.read_history(self.store, HISTORY_COUNT)
        return _respond(consolepages.history_page(page, changes))


def _is_same(given: str, expected: str) -> bool:
    """Returns whether two tokens are the same, in constant time."""
    return hmac.compare_digest(given.encode(), expected.encode())


def _respond(text: str) -> web.Response:
    """Returns an HTML page."""
    return web.Response(text=text, content_type="text/html")


async def _read_form(request: web.Request) -> dict[str, str]:
    """Returns the text fields of a form."""
    form = {}
    for name, value in (await request.post()).items():
        if isinstance(value, str):
            form[name] = value
    return form


def _check(filled: consoleforms.SubmittedForm) -> tuple[Fault, ...]:
    """Returns every fault of a filled form."""
    checked = document.check(filled.document)
    if isinstance(checked, list):
        return (*filled.faults, *checked)
    return filled.faults


async def serve(store: StorePort, author: str, port: int) -> None:
    """Serves the console until it is interrupted."""
    console = Console(store, author, make_tokens())
    await console.start(port)
    try:
        print(f"The console is at {console.url}", flush=True)
        await asyncio.Event().wait()
    finally:
        await console.close()
