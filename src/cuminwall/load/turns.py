"""Whose turn it is among claims that wait for the same capacity.

Start-time fair queueing on two levels: first among classes, then among the
members of a class. Each gets capacity in proportion to its weight while it has
claims, and what it leaves unused goes to the others. So the class that the
configuration puts last still gets a part, and a member with many claims delays
only itself. Nobody saves up capacity while having no claims.

Work is counted in seconds of service. Within one member of one class the order
is the caller's.
"""

from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K")

# Beyond this priority all get the same, so that the part of the last class
# stays above a thousandth.
MAX_HALVINGS = 8
# Fewer accounts than this are not searched for those that are settled.
MIN_SEARCHED_ACCOUNTS = 64


class Turn(NamedTuple):
    """The place of a claim; the lowest comes first.

    Attributes:
      is_late: Whether it can no longer be answered by its target.
      class_start: Work that its class has received, by weight.
      priority: Its class; 0 is the highest.
      member_start: Work that its member has received there, by weight.
      start_by: When to start it at the latest, in seconds.
      sequence: Its sequence number, in order of arrival.
    """

    is_late: bool
    class_start: float
    priority: int
    member_start: float
    start_by: float
    sequence: int


class Accounts(Generic[K]):
    """What each of several parties has received, divided by its weight.

    Attributes:
      served: That of the party served last, before it was served.
      received: That of each party, after it was served.
      search_at: The number of accounts at which settled ones are dropped.
    """

    __slots__ = ("served", "received", "search_at")

    def __init__(self) -> None:
        self.served = 0.0
        self.received: dict[K, float] = {}
        self.search_at = MIN_SEARCHED_ACCOUNTS

    def start(self, party: K) -> float:
        """Returns a party's account; time without claims earns it nothing."""
        return max(self.served, self.received.get(party, 0.0))

    def charge(self, party: K, work_s: float, weight: float) -> None:
        """Records that a party is served."""
        start = self.start(party)
        self.served = start
        self.received[party] = start + work_s / weight
        if len(self.received) >= self.search_at:
            self._drop_settled()

    def _drop_settled(self) -> None:
        """Drops the accounts that a new party would start with."""
        for party, received in list(self.received.items()):
            if received <= self.served:
                del self.received[party]
        self.search_at = max(MIN_SEARCHED_ACCOUNTS, 2 * len(self.received))


class Turns:
    """The accounts of all classes and of their members.

    Attributes:
      classes: The accounts of the classes, by priority.
      members: The accounts of the members of each class.
    """

    __slots__ = ("classes", "members")

    def __init__(self) -> None:
        self.classes: Accounts[int] = Accounts()
        self.members: dict[int, Accounts[str]] = {}

    def find(
        self,
        priority: int,
        member: str,
        start_by: float,
        sequence: int,
        now: float,
    ) -> Turn:
        """Returns the turn of a claim."""
        accounts = self.members.get(priority)
        return Turn(
            start_by <= now,
            self.classes.start(priority),
            priority,
            0.0 if accounts is None else accounts.start(member),
            start_by,
            sequence,
        )

    def charge(
        self, priority: int, member: str, work_s: float, weight: float
    ) -> None:
        """Records that a claim of a member is served.

        Args:
          priority: Its class.
          member: The member.
          work_s: How long its service takes.
          weight: The member's weight within the class.
        """
        self.classes.charge(priority, work_s, weight_of(priority))
        accounts = self.members.get(priority)
        if accounts is None:
            accounts = self.members[priority] = Accounts()
        accounts.charge(member, work_s, weight)

    def clear(self) -> None:
        """Forgets all accounts, once nobody has claims."""
        self.classes = Accounts()
        self.members.clear()


def weight_of(priority: int) -> float:
    """Returns the weight of a priority: half that of the one before it."""
    return 0.5 ** min(max(priority, 0), MAX_HALVINGS)
