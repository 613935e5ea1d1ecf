"""Tests of which sessions end, against looking at all of them each time."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminwall import (
    configuration,
    effects,
    events,
    outcomes,
    reducer,
    state,
    timings,
    work,
)
from tests import world

KEYS = ("key", "other")

steps = st.lists(
    st.one_of(
        st.tuples(st.just("open"), st.sampled_from(KEYS)),
        st.tuples(st.just("close"), st.integers(1, 8)),
        st.tuples(
            st.just("use"),
            st.tuples(
                st.integers(1, 8), st.booleans(), st.sampled_from(["", "i"])
            ),
        ),
        st.tuples(
            st.just("config"),
            st.tuples(st.sets(st.sampled_from(KEYS)), st.booleans()),
        ),
        st.tuples(st.just("tick"), st.sampled_from([0.05, 0.6, 1.5])),
        st.tuples(st.just("drain"), st.none()),
    ),
    max_size=25,
)


def make_config(
    keys: set[str], zone_out: bool, version: int
) -> configuration.Configuration:
    """Returns a configuration with the given keys."""
    document = world.make_document(["a"], {"ledger": [("p", "a")]})
    document["keys"] = {
        name: {"workspace": "clerks", "verifier": "v"} for name in keys
    }
    document["zones"]["a"] = {"state": "out" if zone_out else "serving"}
    return configuration.parse(document, version)


def find_failure(
    known: state.State, session: state.Session
) -> outcomes.Failure | None:
    """Says naively why a session gets no new work."""
    if known.draining:
        return outcomes.SHUTTING_DOWN
    if not known.config.zones["a"]:
        return outcomes.ZONE_OUT
    if session.login.key_id not in known.config.keys:
        return outcomes.KEY_WITHDRAWN
    return None


def expected_effects(known: state.State, since: dict[int, float]) -> list:
    """Looks at every session; returns what should go out."""
    found: list = []
    for number, session in known.sessions.items():
        failure = find_failure(known, session)
        if failure is None:
            since.pop(number, None)
            continue
        began = since.setdefault(number, known.now)
        if failure is not outcomes.KEY_WITHDRAWN:
            if session.transaction_home or session.running_round:
                since[number] = known.now
            elif known.now - began >= known.times.idle_grace_s:
                found.append(effects.CloseSession(number, failure))
            continue
        if session.running_round:
            if known.now - began >= known.times.withdrawn_grace_s:
                found.append(effects.CancelRound(number))
            continue
        if session.transaction_home:
            failure = outcomes.KEY_WITHDRAWN_IN_TRANSACTION
        found.append(effects.CloseSession(number, failure))
    return found


class UnservedTest(unittest.TestCase):
    """Sessions whose key, zone or instance serves no more."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(steps)
    def test_same_sessions_end_as_in_the_model(self, happens) -> None:
        known = state.State("i", "a", timings.DEFAULTS, 1, 100.0)
        known.fresh_until = 1e9
        version = 1
        config = make_config(set(KEYS), False, version)
        reducer.reduce(known, events.ConfigLoaded(known.now, config))
        since: dict[int, float] = {}
        opened = 0
        for kind, value in happens:
            event = None
            if kind == "open":
                opened += 1
                login = work.Login("ledger", value, "clerks", "", "c")
                reducer.reduce(
                    known, events.SessionOpened(known.now, opened, login)
                )
            elif kind == "close":
                since.pop(value, None)
                reducer.reduce(known, events.SessionClosed(known.now, value))
            elif kind == "use" and value[0] in known.sessions:
                session = known.sessions[value[0]]
                session.running_round, session.transaction_home = (
                    int(value[1]),
                    value[2],
                )
            elif kind == "config":
                version += 1
                config = make_config(*value, version)
                event = events.ConfigLoaded(known.now, config)
            elif kind == "tick":
                event = events.Tick(known.now + value)
            elif kind == "drain":
                event = events.DrainOrdered(known.now)
            if event is None:
                continue
            ended = []
            for effect in reducer.reduce(known, event):
                if isinstance(
                    effect, effects.CloseSession | effects.CancelRound
                ):
                    ended.append(effect)
            self.assertCountEqual(ended, expected_effects(known, since))


if __name__ == "__main__":
    unittest.main()
