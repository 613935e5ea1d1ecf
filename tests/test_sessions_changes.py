"""Compares which sessions end with a model that checks all of them."""

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
    entry: state.State, session: state.Session
) -> outcomes.Failure | None:
    """Returns why a session is not served, by plain rules."""
    if entry.draining:
        return outcomes.SHUTTING_DOWN
    if not entry.config.zones["a"]:
        return outcomes.ZONE_OUT
    if session.login.key_id not in entry.config.keys:
        return outcomes.KEY_WITHDRAWN
    return None


def expected_effects(entry: state.State, since: dict[int, float]) -> list:
    """Checks every session; returns the effects that should result."""
    found: list = []
    for number, session in entry.sessions.items():
        failure = find_failure(entry, session)
        if failure is None:
            since.pop(number, None)
            continue
        unserved_since = since.setdefault(number, entry.now)
        if failure is not outcomes.KEY_WITHDRAWN:
            if session.transaction_home or session.running_round:
                since[number] = entry.now
            elif entry.now - unserved_since >= entry.times.idle_grace_s:
                found.append(effects.CloseSession(number, failure))
            continue
        if session.running_round:
            if entry.now - unserved_since >= entry.times.withdrawn_grace_s:
                found.append(effects.CancelRound(number))
            continue
        if session.transaction_home:
            failure = outcomes.KEY_WITHDRAWN_IN_TRANSACTION
        found.append(effects.CloseSession(number, failure))
    return found


class UnservedTest(unittest.TestCase):
    """Sessions whose key, zone or instance is no longer in service."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(steps)
    def test_same_sessions_end_as_in_the_model(self, actions) -> None:
        entry = state.State("i", "a", timings.DEFAULTS, 1, 100.0)
        entry.fresh_until = 1e9
        version = 1
        config = make_config(set(KEYS), False, version)
        reducer.reduce(entry, events.ConfigLoaded(entry.now, config))
        since: dict[int, float] = {}
        opened = 0
        for kind, value in actions:
            event = None
            if kind == "open":
                opened += 1
                login = work.Login("ledger", value, "clerks", "", "c")
                reducer.reduce(
                    entry,
                    events.SessionOpened(entry.now, opened, login),
                )
            elif kind == "close":
                since.pop(value, None)
                reducer.reduce(
                    entry,
                    events.SessionClosed(entry.now, value),
                )
            elif kind == "use" and value[0] in entry.sessions:
                session = entry.sessions[value[0]]
                session.running_round, session.transaction_home = (
                    int(value[1]),
                    value[2],
                )
            elif kind == "config":
                version += 1
                config = make_config(*value, version)
                event = events.ConfigLoaded(entry.now, config)
            elif kind == "tick":
                event = events.Tick(entry.now + value)
            elif kind == "drain":
                event = events.DrainOrdered(entry.now)
            if event is None:
                continue
            ended = []
            for effect in reducer.reduce(entry, event):
                if isinstance(
                    effect, effects.CloseSession | effects.CancelRound
                ):
                    ended.append(effect)
            self.assertCountEqual(ended, expected_effects(entry, since))


if __name__ == "__main__":
    unittest.main()
