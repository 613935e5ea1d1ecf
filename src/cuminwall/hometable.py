"""The best instances of each zone for each home set, kept up to date.

An instance that comes or goes changes the ranking of its own zone alone, and
only for the home sets that it ranks high for; everything else stays.
"""

from cuminwall import placement

Ranked = tuple[tuple[int, str], ...]


class HomeTable:
    """The staying instances by zone, and who ranks best among them.

    Attributes:
      members: The staying instances by zone; no zone is empty.
      rankings: By zone, then by home set and count: the best instances with their
        scores, the best first.
    """

    __slots__ = ("members", "rankings")

    def __init__(self) -> None:
        self.members: dict[str, set[str]] = {}
        self.rankings: dict[str, dict[tuple[str, int], Ranked]] = {}

    def add(self, zone: str, instance: str) -> None:
        """Takes in an instance that stays."""
        self.members.setdefault(zone, set()).add(instance)
        best = self.rankings.get(zone, {})
        for key, ranked in best.items():
            home_set, count = key
            entry = (placement.score(home_set, instance), instance)
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
            self.rankings.pop(zone, None)
            return
        best = self.rankings.get(zone, {})
        for key, ranked in list(best.items()):
            if any(name == instance for _, name in ranked):
                del best[key]

    def find(self, zone: str, home_set: str, count: int) -> Ranked:
        """Returns the best `count` instances of a zone with their scores."""
        members = self.members.get(zone)
        if members is None:
            return ()
        best = self.rankings.setdefault(zone, {})
        key = (home_set, count)
        ranked = best.get(key)
        if ranked is None:
            scored = [
                (placement.score(home_set, name), name) for name in members
            ]
            scored.sort(reverse=True)
            ranked = best[key] = tuple(scored[:count])
        return ranked

    def retain(self, wanted: set[tuple[str, int]]) -> None:
        """Forgets what is not in `wanted`, pairs of home set and count."""
        for best in self.rankings.values():
            for key in list(best):
                if key not in wanted:
                    del best[key]
