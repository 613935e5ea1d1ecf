"""Checks that requests are handled by configurations that may be in force."""

import time
from typing import NamedTuple

from soak import requests
from soak.timeline import Timeline


class Case(NamedTuple):
    """A request that was handled as only an older configuration allows.

    Attributes:
      what: What happened.
      instance: The instance that handled it.
      database: The database.
      sent_at: When it was sent, in seconds since the start.
      handled_at: When it ran or was refused, in seconds since the start.
      version: The version that it disregards.
      version_age_s: The age of that version's acknowledgement when the request
        was sent.
      is_in_touch: Whether the instance was in touch.
    """

    what: str
    instance: str
    database: str
    sent_at: float
    handled_at: float
    version: int
    version_age_s: float
    is_in_touch: bool


class Checks:
    """Collects the cases.

    Attributes:
      cases: What was found.
      statements: How many statements were checked.
    """

    def __init__(self, timeline: Timeline):
        self.timeline = timeline
        self.cases: list[Case] = []
        self.statements = 0

    def check_run(self, service: str, origin: requests.Origin) -> None:
        """Checks a statement that ran at a server of a service."""
        self.statements += 1
        has_route = False
        has_key = False
        allowed = self.timeline.find_allowed(origin.sent_at)
        for version in allowed:
            if version.routes.get(origin.database) == service:
                has_route = True
            if origin.key in version.keys:
                has_key = True
        now = time.monotonic()
        if not has_route:
            self._add(f"run by {service}", origin, now)
        if not has_key:
            self._add(f"run with key {origin.key}", origin, now)

    def check_refusal(
        self, code: str, origin: requests.Origin, refused_at: float
    ) -> None:
        """Checks a refusal of a database or of a key."""
        for version in self.timeline.find_allowed(origin.sent_at):
            if version.sent_at > refused_at:
                break
            if origin.database not in version.routes:
                return
            if origin.key not in version.keys:
                return
        self._add(f"refused: {code}", origin, refused_at)

    def _add(self, what: str, origin: requests.Origin, at: float) -> None:
        """Adds a case."""
        version = self.timeline.find_allowed(origin.sent_at)[0]
        age_s = origin.sent_at - version.acknowledged_at
        self.cases.append(
            Case(
                what,
                origin.instance,
                origin.database,
                self.timeline.since_start(origin.sent_at),
                self.timeline.since_start(at),
                version.number,
                round(age_s, 3),
                self.timeline.is_in_touch(origin.instance, origin.sent_at),
            )
        )
