"""Ranks the active instances of each zone for each home set, incrementally.

An instance that joins or leaves changes only the rankings of its own zone,
and only for the home sets that it ranks high for.
"""

from cuminwall import placement

Ranked = tuple[tuple[int, str], ...]


class HomeTable:
    """The active instances by zone and a cache of their rankings.

    Attributes:
      members: The active instances by zone; no zone is empty.
      rankings: By zone, then by home set and count: the highest ranked
        instances with their scores, the highest first.
    """

    __slots__ = ("members", "rankings")

    def __init__(self) -> None:
        self.members: dict[str, set[str]] = {}
        self.rankings: dict[str, dict[tuple[str, int], Ranked]] = {}

    def add(self, zone: str, instance: str) -> None:
        """Adds an active instance."""
        self.members.setdefault(zone, set()).add(instance)
        rankings = self.rankings.get(zone, {})
        for key, ranked in rankings.items():
            home_set, count = key
            entry = (placement.score(home_set, instance), instance)
            if len(ranked) >= count and entry <= ranked[-1]:
                continue
            merged = sorted({*ranked, entry}, reverse=True)
            rankings[key] = tuple(merged[:count])

    def remove(self, zone: str, instance: str) -> None:
        """Removes an instance that is shutting down or gone."""
        members = self.members.get(zone)
        if members is None or instance not in members:
            return
        members.remove(instance)
        if not members:
            del self.members[zone]
            self.rankings.pop(zone, None)
            return
        rankings = self.rankings.get(zone, {})
        for key, ranked in list(rankings.items()):
            if any(name == instance for _, name in ranked):
                del rankings[key]

    def find(self, zone: str, home_set: str, count: int) -> Ranked:
        """Returns the `count` highest ranked instances with their scores."""
        members = self.members.get(zone)
        if members is None:
            return ()
        rankings = self.rankings.setdefault(zone, {})
        key = (home_set, count)
        ranked = rankings.get(key)
        if ranked is None:
            scored = [
                (placement.score(home_set, name), name) for name in members
            ]
            scored.sort(reverse=True)
            ranked = rankings[key] = tuple(scored[:count])
        return ranked

    def retain(self, wanted: set[tuple[str, int]]) -> None:
        """Drops rankings whose (home set, count) is not in `wanted`."""
        for rankings in self.rankings.values():
            for key in list(rankings):
                if key not in wanted:
                    del rankings[key]
