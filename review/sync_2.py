"""Stand-ins for a service with `SyncReplicas` 1, and for the promote call.

The primary acknowledges a commit once one replica has received it. A promoted
backend leads with what it had received, and nothing more. A promote call is
checked against the highest epoch number that was seen, when it is carried out.
"""

import asyncio
import json
import time

import standins_2 as standins
from soak.store import Answer, Store

LINK_S = 0.0014  # One way between two zones.
PROMOTE_S = 0.6
HEARTBEAT_S = 1.2
SILENT_BEATS = 3  # After these an entry is removed.
POLL_S = 0.002
ANSWER_S = 0.004
START = (1, 1000, "")


class SyncStore(Store):
    """The metadata store, and the platform's promote call."""

    def __init__(self, site: "SyncSite"):
        super().__init__()
        self.site = site

    def _handle(self, instance, connection, call) -> None:
        if call.path != "/promote":
            super()._handle(instance, connection, call)
            return
        fields = json.loads(call.body)
        token = int(call.headers["x-fencing-token"])
        self.site.record(
            f"{instance} calls promote {fields['Id']}, epoch number {token}"
        )
        loop = asyncio.get_running_loop()
        late_s = self.site.choose_late(fields["Id"])
        if late_s:
            connection.is_mute = True
            loop.call_later(late_s, self.site.promote, fields["Id"], token)
            return

        def carry_out() -> None:
            is_done = self.site.promote(fields["Id"], token)
            self._answer(connection, Answer(200 if is_done else 409, b"{}"))

        loop.call_later(ANSWER_S, carry_out)


class SyncBackend(standins.Backend):
    """A backend whose commits are acknowledged once a replica has them.

    Attributes:
      held_term: The term of a PAUSE; 0 if it receives commits.
      is_deaf: Whether it receives nothing.
      is_cut: Whether it can't reach the store.
      published: The entry that stands in the store, or None.
    """

    def __init__(self, site: "SyncSite", name: str, zone: str, role: str):
        super().__init__(site, name, zone, role)
        self.log = [START]
        self.held_term = 0
        self.is_deaf = False
        self.is_cut = False
        self.published: dict | None = None
        self.reached_at = time.monotonic()

    async def run_heartbeats(self) -> None:
        """Keeps its entry; the store removes it after a silence."""
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)
            silent_s = time.monotonic() - self.reached_at
            if self.published and silent_s >= SILENT_BEATS * HEARTBEAT_S:
                self.published = None
                self.site.record(f"the entry of {self.name} is removed")
                self.site.store.items.write([], [f"servers/{self.name}"])
                self.site.store._tell_waiters()

    def register(self) -> None:
        """Writes its entry if that has changed and the store is in reach."""
        if self.is_cut:
            return
        self.reached_at = time.monotonic()
        entry = {"role": self.role}
        if entry != self.published:
            self.published = entry
            super().register()

    def crash(self) -> None:
        """Ends all connections, and answers nothing."""
        self.is_cut = True
        self.stop()

    async def come_back(self) -> None:
        """Comes back with its log."""
        self.is_cut = False
        await self.start()

    def receives(self) -> bool:
        """Returns whether commits of the primary reach it."""
        return not self.is_deaf and not self.held_term

    def follow(self, log: list) -> None:
        """Receives the primary's log; drops what that doesn't have."""
        if not self.receives():
            return
        if self.log != log[: len(self.log)]:
            self.log = list(log)
        self.log.extend(log[len(self.log) :])

    async def commit_synced(self, number: str) -> bool:
        """Adds a commit; returns whether it may be acknowledged."""
        term = self.term
        entry = (term, self.log[-1][1] + 1, number)
        self.log.append(entry)
        index = len(self.log) - 1
        loop = asyncio.get_running_loop()
        loop.call_later(LINK_S, self.site.replicate)
        while self.site.leader is self and self.term == term:
            for peer in self.site.backends:
                if peer is self or len(peer.log) <= index:
                    continue
                if peer.log[index] == entry:
                    await asyncio.sleep(LINK_S)
                    return True
            await asyncio.sleep(POLL_S)
        return False


class SyncSession(standins.BackendSession):
    """A connection to such a backend."""

    async def _run(self, number: str, text: str) -> None:
        backend = self.backend
        verb, _, tail = text.partition(" ")
        if verb not in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            await super()._run(number, text)
            return
        await self._work(0.0005)
        if verb == "PAUSE" and int(tail) > backend.term:
            backend.held_term = int(tail)
        elif verb == "RESUME":
            backend.held_term = 0
            backend.site.replicate()
        elif verb == "STEPDOWN" and int(tail) > backend.term:
            backend.site.step_down(backend)
        term, count, _ = backend.log[-1]
        row = f"{backend.role} {backend.term} {term}.{count}"
        backend.site.record(f"{backend.name} {verb} {tail}: {row}")
        self._send(f"ROW {row} {backend.held_term} 0 0 1")
        self._complete("-")

    async def _finish(self, number: str, verb: str, tail: str) -> None:
        backend = self.backend
        if verb != "WRITE" or self.state != "I":
            await super()._finish(number, verb, tail)
            return
        if backend.site.leader is not backend:
            self._fail("READONLY")
            return
        if not await backend.commit_synced(number):
            # Its outcome is unknown: the backend has lost the lead meanwhile.
            self.writer.transport.abort()
            return
        backend.proofs += 1
        self._complete(f"{backend.name}.{backend.proofs}")


class SyncSite(standins.Site):
    """A deployment whose service has `SyncReplicas` 1.

    Attributes:
      leader: The backend that leads, or None.
      token: The highest epoch number that a promote call had.
      acknowledged: The writes whose success their requester has got.
      lost: Of each promotion, the acknowledged writes that it lacks.
      late_s: After what time the next promote call is carried out; 0 at once.
      late_target: The backend that a late call named.
      is_quiet: Whether nobody writes.
    """

    def __init__(self, record: standins.Record, instances: int, config: dict):
        super().__init__(record, instances, config)
        self.store = SyncStore(self)
        self.backends = [
            SyncBackend(self, each.name, each.zone, each.role)
            for each in self.backends
        ]
        self.leader: SyncBackend | None = self.backends[0]
        self.token = 0
        self.acknowledged: set[str] = set()
        self.lost: list[list[str]] = []
        self.late_s = 0.0
        self.late_target = ""
        self.is_quiet = False
        self.tasks: list[asyncio.Task] = []
        standins.BackendSession = SyncSession

    async def start(self) -> bool:
        """Starts all; returns whether every instance became ready."""
        if not await super().start():
            return False
        for backend in self.backends:
            task = asyncio.create_task(backend.run_heartbeats())
            self.tasks.append(task)
        return True

    def end(self) -> None:
        """Ends all processes and connections."""
        for task in self.tasks:
            task.cancel()
        super().end()

    def choose_late(self, target: str) -> float:
        """Returns after what time a call that gets no answer is carried out."""
        late_s, self.late_s = self.late_s, 0.0
        if late_s:
            self.late_target = target
            self.record(f"it gets no answer; carried out {late_s} s later")
        return late_s

    def replicate(self) -> None:
        """Lets the replicas receive what the primary has."""
        if self.leader is None:
            return
        for backend in self.backends:
            if backend is not self.leader:
                backend.follow(self.leader.log)
                backend.term = max(backend.term, self.leader.term)

    def step_down(self, backend: SyncBackend) -> None:
        """Makes a primary a replica."""
        if self.leader is backend:
            self.leader = None
            backend.role = "replica"
            backend.register()
            self.record(f"{backend.name} steps down")

    def promote(self, name: str, token: int) -> bool:
        """Carries out a promote call; returns whether it is accepted."""
        if token < self.token:
            self.record(f"promote {name} with {token} is refused: 409")
            return False
        self.token = token
        self.record(f"promote {name} with {token} is carried out")
        chosen = next(each for each in self.backends if each.name == name)
        if chosen is not self.leader:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_S, self._lead, chosen)
        return True

    def _lead(self, chosen: SyncBackend) -> None:
        """Makes a backend the primary of the next term."""
        has = {number for _, _, number in chosen.log}
        lost = sorted(self.acknowledged - has)
        term = 1 + max(each.term for each in self.backends)
        if self.leader is not None:
            self.leader.role = "replica"
        chosen.role = "primary"
        chosen.term = term
        chosen.log.append((term, chosen.log[-1][1] + 1, ""))
        self.leader = chosen
        self.lost.append(lost)
        self.acknowledged -= set(lost)
        self.record(
            f"{chosen.name} leads term {term}; it lacks {len(lost)}"
            f" acknowledged commits: {lost[:3]}"
        )
        for backend in self.backends:
            backend.held_term = 0
            backend.register()
        self.replicate()
