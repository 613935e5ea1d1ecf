"""The best instances of each zone for each service, kept up to date.

An instance that comes or goes changes the ranking of its own zone alone, and
only for the services that it ranks high for; everything else stays.
"""

from cuminwall import placement

Ranked = tuple[tuple[int, str], ...]


class HomeTable:
    """The staying instances by zone, and who ranks best among them.

    Attributes:
      members: The staying instances by zone; no zone is empty.
      best: By zone, then by service and count: the best instances with their
        scores, the best first.
    """

    __slots__ = ("members", "best")

    def __init__(self) -> None:
        self.members: dict[str, set[str]] = {}
        self.best: dict[str, dict[tuple[str, int], Ranked]] = {}

    def add(self, zone: str, instance: str) -> None:
        """Takes in an instance that stays."""
        self.members.setdefault(zone, set()).add(instance)
        best = self.best.get(zone, {})
        for key, ranked in best.items():
            service, count = key
            entry = (placement.score(service, instance), instance)
            if len(ranked) >= count and entry <= ranked[-1]:
                continue
            merged = sorted({*ranked, entry}, reverse=True)
            best[key] = tuple(merged[:count])

    def remove(self, zone: str, instance: str) -> None:
        """Takes out an instance that is leaving or gone."""
        members = self.members.get(zone)
        if members is None or instance not in members:
            return
        members.remove(instance)
        if not members:
            del self.members[zone]
            self.best.pop(zone, None)
            return
        best = self.best.get(zone, {})
        for key, ranked in list(best.items()):
            if any(name == instance for _, name in ranked):
                del best[key]

    def find(self, zone: str, service: str, count: int) -> Ranked:
        """Returns the best `count` instances of a zone with their scores."""
        members = self.members.get(zone)
        if members is None:
            return ()
        best = self.best.setdefault(zone, {})
        key = (service, count)
        ranked = best.get(key)
        if ranked is None:
            scored = [
                (placement.score(service, name), name) for name in members
            ]
            scored.sort(reverse=True)
            ranked = best[key] = tuple(scored[:count])
        return ranked

    def forget_others(self, counts: dict[str, int]) -> None:
        """Forgets what is not in `counts`, the count of each service."""
        for best in self.best.values():
            for key in list(best):
                service, count = key
                if counts.get(service) != count:
                    del best[key]
