"""Measures sessions at their entry instance: memory, ticks and rounds."""

from bench import fits, fleets
from cuminwall import events, state, work

SESSIONS = (500, 2000, 8000)
MEMBERS = 900
SERVICES = 64
ROUNDS = 200
TICKS = 5


def measure() -> list[fits.Slope]:
    """Returns every slope of this module."""
    memory, ticks, rounds = [], [], []
    for sessions in SESSIONS:
        entry = make_entry()
        memory.append((sessions, _memory(entry, sessions)))
        ticks.append((sessions, _tick_s(entry)))
        rounds.append((sessions, _round_s(entry, sessions)))
    return [
        fits.fit("session_memory", "bytes", "sessions", memory),
        fits.fit("tick_by_sessions", "s", "sessions", ticks),
        fits.fit("round_decided", "s", "sessions", rounds),
    ]


def make_entry() -> state.State:
    """Returns the state of an instance that accepts sessions."""
    entry = fleets.make_state()
    fleets.load_document(entry, fleets.make_document(SERVICES, 8, 8))
    entry.fresh_until = entry.now + 1000.0
    listed = events.InstancesListed(entry.now, fleets.make_records(MEMBERS))
    fleets.feed(entry, listed)
    fleets.set_stewards(entry, MEMBERS)
    return entry


def _login(number: int) -> work.Login:
    key = number % 8
    service = fleets.service_name(number % SERVICES)
    return work.Login(
        service, f"key-{key:05d}", f"space-{key:05d}", "", "10.0.0.1"
    )


def _memory(entry: state.State, sessions: int) -> float:
    """Opens sessions; returns the bytes that the reducer state grows by."""

    def make() -> None:
        for number in range(1, sessions + 1):
            event = events.SessionOpened(entry.now, number, _login(number))
            fleets.feed(entry, event)

    used = fits.memory_bytes(make)
    assert len(entry.sessions) == sessions
    return used


def _tick_s(entry: state.State) -> float:
    def tick() -> None:
        entry.relay.round_started_at = entry.now
        fleets.feed(entry, events.Tick(entry.now))

    return fits.cpu_per_call_s(tick, TICKS)


def _round_s(entry: state.State, sessions: int) -> float:
    """Returns the time of placing one round and handling its answer."""
    numbers = iter(range(10_000_000, 20_000_000))
    session_numbers = iter(range(10_000_000))

    def run() -> None:
        session = next(session_numbers) % sessions + 1
        number = next(numbers)
        fleets.feed(
            entry,
            events.RoundArrived(
                entry.now,
                session,
                number,
                work.Access.READ,
                False,
                False,
                None,
                (),
            ),
        )
        answer = work.HomeAnswer(b"I", None, None, "s0", False)
        fleets.feed(entry, events.HomeAnswered(entry.now, number, answer))

    return fits.cpu_per_call_s(run, ROUNDS)
