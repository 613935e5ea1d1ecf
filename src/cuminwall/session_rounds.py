"""Groups a caller's messages into rounds, one at a time. Pure: no I/O.

Prepared statements and settings become part of the session once the server
has confirmed them.
"""

import struct

from cuminwall import (
    answers,
    exceptions,
    outcomes,
    round_building,
    rounds,
    session_effects,
    session_settings,
    statements,
    wire,
    work,
)

_STATUS_IDLE = b"I"
_COPY_TAGS = frozenset({b"d", b"c", b"f"})


class SessionRounds:
    """Groups one session's messages and keeps its statements and settings.

    `add` takes messages until one ends the round. A RoundReady must be ended
    by `finish` or `abandon` before the next message is added.

    Attributes:
      status: The transaction status last reported to the caller.
      skipping: Whether messages are dropped up to the next Sync.
      unsynced: Whether the server waits for a Sync after a Flush.
      executed: Whether statements ran since the last Sync.
      failed: Whether a round failed since the last Sync.
    """

    __slots__ = (
        "builder",
        "cache",
        "executed",
        "failed",
        "limits",
        "max_age_s",
        "portals",
        "request_id",
        "settings",
        "skipping",
        "statement_characters",
        "statements",
        "status",
        "unsynced",
    )

    def __init__(
        self,
        cache: statements.StatementCache,
        startup: dict[str, str] | None = None,
        max_age_s: float | None = None,
        limits: rounds.Limits = rounds.DEFAULT_LIMITS,
    ):
        self.builder: round_building.RoundBuilder | None = None
        self.cache = cache
        self.executed = False
        self.failed = False
        self.limits = limits
        self.max_age_s = max_age_s
        self.portals: dict[str, statements.Statement] = {}
        self.request_id = ""
        self.settings = session_settings.SessionSettings(startup or {})
        self.skipping = False
        self.statement_characters = 0
        self.statements: dict[str, rounds.CallerStatement] = {}
        self.status = _STATUS_IDLE
        self.unsynced = False

    def add(self, message: wire.Message) -> rounds.RoundAction | None:
        """Returns what to do with the round if `message` ends it, else None.

        Raises:
          exceptions.ProtocolError: The message is malformed or unknown.
        """
        tag = message.tag
        if tag in _COPY_TAGS:
            return None
        if self.skipping:
            return self._skip(tag)
        builder = self.builder
        if builder is None:
            builder = round_building.RoundBuilder(self)
            self.builder = builder
        builder.size += len(message.payload) + rounds.MESSAGE_OVERHEAD_BYTES
        if builder.size > self.limits.round_bytes and tag != b"S":
            failure = outcomes.ROUND_TOO_LARGE
            return self._refuse(outcomes.Refusal(failure, ""), tag)
        handler = round_building.HANDLERS.get(tag)
        if handler is None:
            raise exceptions.ProtocolError(f"unknown message {tag!r}")
        try:
            refusal = handler(builder, message.payload)
        except struct.error as error:
            raise exceptions.ProtocolError(f"malformed {tag!r}") from error
        if refusal is not None:
            return self._refuse(refusal, tag)
        if tag not in round_building.ENDING_TAGS:
            return None
        return self._end(builder, tag)

    def _skip(self, tag: bytes) -> rounds.RoundAction | None:
        """Drops a message after a failure; a Sync ends the skipping."""
        if tag != b"S":
            return None
        self.skipping = False
        if self.unsynced:
            return self._make_sync_round()
        return rounds.LocalAnswer(b"", synced=True)

    def _make_sync_round(self) -> rounds.RoundReady:
        round_ = work.Round(
            access=work.Access.READ,
            steps=(work.Step(wire.sync()),),
            settings=tuple(self.settings.in_force.items()),
        )
        return rounds.RoundReady(round_, (), reads_answer=True)

    def _refuse(self, refusal: outcomes.Refusal, tag: bytes) -> rounds.Refused:
        """Ends the round with an error; none of it is sent to the server."""
        self.builder = None
        # A Query or function call is followed by ReadyForQuery at once.
        synced = tag in round_building.SELF_CONTAINED_TAGS
        if self.unsynced and self.executed:
            failure = outcomes.REFUSED_IN_PIPELINE
            return rounds.Refused(failure, refusal.failure.reason, synced)
        closing = None
        if synced and self.unsynced:
            closing = self._make_sync_round()
        self.skipping = not synced
        return rounds.Refused(refusal.failure, refusal.detail, synced, closing)

    def _end(
        self, builder: round_building.RoundBuilder, tag: bytes
    ) -> rounds.RoundAction:
        """Returns the round that `tag` ends."""
        self.builder = None
        synced = tag != b"H"
        only_sync = tag == b"S" and len(builder.steps) == 1
        needs_server = builder.steps and not only_sync
        if not needs_server and not (synced and self.unsynced):
            return self._answer_locally(builder, synced)
        sends_sync = synced
        if not synced and not self.unsynced and not builder.uses_portal:
            # Prepared statements outlive a Sync, so a round without portals
            # need not hold the server connection until the caller's Sync.
            builder.steps[-1] = work.Step(wire.sync())
            sends_sync = True
        self._keep_proxy_settings(builder)
        self._keep_portals(builder)
        # Preparing a statement, even a write, changes no data.
        access = builder.access if builder.uses_portal else work.Access.READ
        if self._is_serializable():
            # A replica rejects serializable transactions.
            access = work.Access.WRITE
        is_read = access is work.Access.READ
        request_id = ""
        if builder.writes:
            request_id = self.request_id
            self.request_id = ""
        round_ = work.Round(
            access=access,
            steps=tuple(builder.steps),
            prepared=tuple(builder.prepared.values()),
            synced=sends_sync,
            begins_transaction=builder.begins_transaction,
            ends_transaction=builder.only_ends_transaction,
            settings=tuple(self.settings.in_force.items()),
            max_age_s=self.max_age_s,
            tables=tuple(builder.tables) if is_read else (),
            request_id=request_id,
        )
        self.executed = self.executed or builder.executes
        return rounds.RoundReady(
            round_,
            tuple(builder.expected),
            synced=synced,
            token=builder.token,
            reads_answer=self._must_read_answer(builder, synced),
            drops_warning=builder.drops_warning,
        )

    def _answer_locally(
        self, builder: round_building.RoundBuilder, synced: bool
    ) -> rounds.LocalAnswer:
        """Answers a round that needs no server."""
        self._keep_proxy_settings(builder)
        data = wire.command_complete("SET") * len(builder.expected)
        return rounds.LocalAnswer(data, synced, builder.token)

    def _keep_proxy_settings(
        self, builder: round_building.RoundBuilder
    ) -> None:
        self.max_age_s = builder.max_age_s
        self.request_id = builder.request_id

    def _is_serializable(self) -> bool:
        name = "default_transaction_isolation"
        return self.settings.in_force.get(name) == "serializable"

    def _must_read_answer(
        self, builder: round_building.RoundBuilder, synced: bool
    ) -> bool:
        """Returns whether the server's answer changes the session's state."""
        if not synced or self.unsynced or not self.settings.is_unchanged():
            return True
        return any(
            item.effects or item.tag != b"C" for item in builder.expected
        )

    def _keep_portals(self, builder: round_building.RoundBuilder) -> None:
        for name, statement in builder.portals.items():
            if statement is None:
                self.portals.pop(name, None)
            else:
                self.portals[name] = statement

    def finish(
        self,
        ready: rounds.RoundReady,
        reader: answers.AnswerReader,
        end: work.RoundEnd,
    ) -> dict[str, str]:
        """Applies a round's effects to the session.

        Args:
          ready: The round.
          reader: The reader of the server's answer, if the answer was read.
          end: How the round ended.

        Returns:
          Settings to report to the caller, by their reported names.
        """
        reported = self._apply_completions(ready.expected, reader)
        failed = self.failed or reader.failed or end.failure is not None
        if not ready.round_.synced:
            self.failed = failed
            self.skipping = failed
            self.unsynced = end.failure is None
            return reported
        self.skipping = failed and not ready.synced
        self.unsynced = False
        self.executed = False
        self.failed = False
        self.status = end.status
        if end.status != _STATUS_IDLE:
            return reported
        self.portals.clear()
        if failed:
            self.settings.roll_back()
        else:
            reported.update(self.settings.commit())
        return reported

    def abandon(self, ready: rounds.RoundReady) -> None:
        """Skips to the next Sync, if one is due, as the round was not run."""
        self.skipping = not ready.synced

    def _apply_completions(
        self,
        expected: tuple[rounds.ExpectedCompletion, ...],
        reader: answers.AnswerReader,
    ) -> dict[str, str]:
        """Applies the expected completions that the server sent, in order."""
        reported: dict[str, str] = {}
        for item, completion in zip(expected, reader.completions, strict=False):
            if item.name is not None:
                self._set_statement(item.name, item.statement)
            if completion.suspended:
                continue
            for effect in item.effects:
                if isinstance(effect, session_effects.TransactionEnded):
                    if completion.command == answers.ROLLBACK:
                        self.settings.roll_back()
                    else:
                        reported.update(self.settings.commit())
                elif isinstance(effect, session_effects.StatementsDropped):
                    self._drop_statements(effect.name)
                else:
                    session_settings.apply(effect, self.settings)
        return reported

    def _set_statement(
        self, name: str, statement: rounds.CallerStatement | None
    ) -> None:
        """Sets the statement `name`, or removes it if `statement` is None."""
        replaced = self.statements.pop(name, None)
        if replaced is not None and name:
            self.statement_characters -= replaced.characters
        if statement is None:
            return
        self.statements[name] = statement
        if name:
            self.statement_characters += statement.characters

    def _drop_statements(self, name: str | None) -> None:
        """Removes one statement, or all if `name` is None."""
        if name is not None:
            self._set_statement(name, None)
            return
        self.statements.clear()
        self.statement_characters = 0
