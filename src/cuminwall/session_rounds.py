"""Cuts a caller's messages into rounds, one at a time. Pure: no I/O.

Statements and settings count for the session once the server has answered
that they do.
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
    """Cuts one session's messages and keeps what the session has prepared.

    `add` takes messages until it returns a Cut. A RoundReady must be ended by
    `finish` before the next message is added.

    Attributes:
      status: The transaction status last reported to the caller.
      skipping: Whether messages are dropped up to the next Sync.
      unsynced: Whether the server waits for a Sync after a Flush.
      executed: Whether statements ran since the last Sync.
      failed: Whether a round failed since the last Sync.
    """

    __slots__ = (
        "building",
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
        self.building: round_building.RoundBuilder | None = None
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
        """Returns what the round became if `message` ends it, else None.

        Raises:
          exceptions.ProtocolError: The message is malformed or unknown.
        """
        tag = message.tag
        if tag in _COPY_TAGS:
            return None
        if self.skipping:
            return self._skip(tag)
        building = self.building
        if building is None:
            building = round_building.RoundBuilder(self)
            self.building = building
        building.size += len(message.payload) + rounds.MESSAGE_OVERHEAD_BYTES
        if building.size > self.limits.round_bytes and tag != b"S":
            failure = outcomes.ROUND_TOO_LARGE
            return self._refuse(outcomes.Refusal(failure, ""), tag)
        handler = round_building.HANDLERS.get(tag)
        if handler is None:
            raise exceptions.ProtocolError(f"unknown message {tag!r}")
        try:
            refusal = handler(building, message.payload)
        except struct.error as error:
            raise exceptions.ProtocolError(f"malformed {tag!r}") from error
        if refusal is not None:
            return self._refuse(refusal, tag)
        if tag not in round_building.ENDING_TAGS:
            return None
        return self._end(building, tag)

    def _skip(self, tag: bytes) -> rounds.RoundAction | None:
        """Drops messages after a failure, up to a Sync."""
        if tag != b"S":
            return None
        self.skipping = False
        if self.unsynced:
            return self._closing_sync()
        return rounds.LocalAnswer(b"", synced=True)

    def _closing_sync(self) -> rounds.RoundReady:
        round_ = work.Round(
            access=work.Access.READ,
            steps=(work.Step(wire.sync()),),
            settings=tuple(self.settings.in_force.items()),
        )
        return rounds.RoundReady(round_, (), reads_answer=True)

    def _refuse(self, refusal: outcomes.Refusal, tag: bytes) -> rounds.Refused:
        """Ends the round with an error; the server gets nothing of it."""
        self.building = None
        # A Query or function call is followed by ReadyForQuery at once.
        synced = tag in round_building.SELF_CONTAINED_TAGS
        if self.unsynced and self.executed:
            failure = outcomes.REFUSED_IN_PIPELINE
            return rounds.Refused(failure, refusal.failure.reason, synced)
        closing = None
        if synced and self.unsynced:
            closing = self._closing_sync()
        self.skipping = not synced
        return rounds.Refused(refusal.failure, refusal.detail, synced, closing)

    def _end(
        self, building: round_building.RoundBuilder, tag: bytes
    ) -> rounds.RoundAction:
        """Returns the round that `tag` ends."""
        self.building = None
        synced = tag != b"H"
        bare_sync = tag == b"S" and len(building.steps) == 1
        for_server = building.steps and not bare_sync
        if not for_server and not (synced and self.unsynced):
            return self._answer_locally(building, synced)
        closes = synced
        if not synced and not self.unsynced and not building.uses_portal:
            # Statements alone outlive a Sync, so the server connection is not
            # kept for a caller that only prepares them.
            building.steps[-1] = work.Step(wire.sync())
            closes = True
        self._keep_own(building)
        self._keep_portals(building)
        # To prepare a statement, even a write, changes nothing.
        access = building.access if building.uses_portal else work.Access.READ
        if self._is_serializable():
            # A replica refuses to run these.
            access = work.Access.WRITE
        is_read = access is work.Access.READ
        request_id = ""
        if building.writes:
            request_id = self.request_id
            self.request_id = ""
        round_ = work.Round(
            access=access,
            steps=tuple(building.steps),
            prepared=tuple(building.prepared.values()),
            synced=closes,
            begins_transaction=building.begins_transaction,
            ends_transaction=building.only_ends_transaction,
            settings=tuple(self.settings.in_force.items()),
            max_age_s=self.max_age_s,
            tables=tuple(building.tables) if is_read else (),
            request_id=request_id,
        )
        self.executed = self.executed or building.executes
        return rounds.RoundReady(
            round_,
            tuple(building.expected),
            synced=synced,
            token=building.token,
            reads_answer=self._is_watched(building, synced),
            drops_warning=building.drops_warning,
        )

    def _answer_locally(
        self, building: round_building.RoundBuilder, synced: bool
    ) -> rounds.LocalAnswer:
        """Answers a round that no server needs to see."""
        self._keep_own(building)
        data = wire.command_complete("SET") * len(building.expected)
        return rounds.LocalAnswer(data, synced, building.token)

    def _keep_own(self, building: round_building.RoundBuilder) -> None:
        self.max_age_s = building.max_age_s
        self.request_id = building.request_id

    def _is_serializable(self) -> bool:
        name = "default_transaction_isolation"
        return self.settings.in_force.get(name) == "serializable"

    def _is_watched(
        self, building: round_building.RoundBuilder, synced: bool
    ) -> bool:
        """Returns whether the session depends on the server's answer."""
        if not synced or self.unsynced or not self.settings.is_unchanged():
            return True
        return any(
            mark.effects or mark.tag != b"C" for mark in building.expected
        )

    def _keep_portals(self, building: round_building.RoundBuilder) -> None:
        for name, statement in building.portals.items():
            if statement is None:
                self.portals.pop(name, None)
            else:
                self.portals[name] = statement

    def finish(
        self,
        ready: rounds.RoundReady,
        seen: answers.AnswerReader,
        end: work.RoundEnd,
    ) -> dict[str, str]:
        """Takes over what a round did to the session.

        Args:
          ready: The round.
          seen: What the server answered, if the round was watched.
          end: How the round ended.

        Returns:
          Settings to report to the caller, by their reported names.
        """
        reported = self._take_completions(ready.expected, seen)
        failed = self.failed or seen.failed or end.failure is not None
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
        """Notes that a round was refused after it had been cut."""
        self.skipping = not ready.synced

    def _take_completions(
        self,
        marks: tuple[rounds.ExpectedCompletion, ...],
        seen: answers.AnswerReader,
    ) -> dict[str, str]:
        """Applies the marks whose completion was seen, in order."""
        reported: dict[str, str] = {}
        for mark, completion in zip(marks, seen.completions, strict=False):
            if mark.name is not None:
                self._take_statement(mark.name, mark.statement)
            if completion.suspended:
                continue
            for effect in mark.effects:
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

    def _take_statement(
        self, name: str, known: rounds.CallerStatement | None
    ) -> None:
        """Keeps a statement under `name`, or forgets it if `known` is None."""
        replaced = self.statements.pop(name, None)
        if replaced is not None and name:
            self.statement_characters -= replaced.characters
        if known is None:
            return
        self.statements[name] = known
        if name:
            self.statement_characters += known.characters

    def _drop_statements(self, name: str | None) -> None:
        """Forgets one statement, or all if `name` is None."""
        if name is not None:
            self._take_statement(name, None)
            return
        self.statements.clear()
        self.statement_characters = 0
