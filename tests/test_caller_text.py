"""Tests that what a caller sends reaches the backend server as it was sent."""

import unittest

from pglast import ast, parser

from cuminwall import (
    backend_settings,
    links,
    logins,
    outcomes,
    rounds,
    session_effects,
    session_rounds,
    session_settings,
    statements,
    wire,
)

# Words that PostgreSQL's grammar accepts as a part of a name in quotes only.
QUOTED_ONLY = ("user", "order", "table", "left", "select")


def parse_assignment(sql):
    """Returns the parsed form of the only statement, which is a SET."""
    (raw,) = parser.parse_sql(sql)
    assert isinstance(raw.stmt, ast.VariableSetStmt), raw.stmt
    return raw.stmt


class SettingNameTest(unittest.TestCase):
    """The names of settings in the statements that are written anew."""

    def test_name_that_needs_quotes_loses_them_in_set_local(self):
        for word in QUOTED_ONLY:
            for sql in (f"SET app.\"{word}\" = 'x'", f'RESET app."{word}"'):
                with self.subTest(sql):
                    found = statements.classify(sql)
                    sent = parse_assignment(found.sql)
                    self.assertTrue(sent.is_local)
                    self.assertEqual(sent.name, f"app.{word}")

    def test_name_that_needs_quotes_loses_them_on_another_connection(self):
        for word in QUOTED_ONLY:
            name = f"app.{word}"
            with self.subTest(name):
                change = backend_settings.plan_change({}, {name: "x"}, False)
                self.assertEqual(parse_assignment(change.sql).name, name)
                change = backend_settings.plan_change({name: "x"}, {}, False)
                self.assertEqual(parse_assignment(change.sql).name, name)

    def test_name_that_the_server_accepts_ends_the_use_of_the_session(self):
        for name in ("app.a$b", "é.ș_1", "a1._b.c$"):
            with self.subTest(name):
                setting = (name, "x")
                self.assertEqual(
                    backend_settings.find_disallowed([setting]), ()
                )
                change = backend_settings.plan_change({}, {name: "x"}, False)
                self.assertEqual(parse_assignment(change.sql).name, name)
        for name in ("", "1a", "$a", "a..b", "a b", "a.b c", 'a"', "a;", "a'"):
            with self.subTest(name):
                setting = (name, "x")
                refused = backend_settings.find_disallowed([setting])
                self.assertEqual(refused, (name,))

    def test_letter_beyond_ascii_is_replaced_by_its_small_one(self):
        for name in ("É.A", "app.Ș", "app.\u212a"):
            small = "".join(x.lower() if x.isascii() else x for x in name)
            parts = name.split(".")
            sql = f'SET "{parts[0]}"."{parts[1]}" = 1'
            with self.subTest(sql):
                found = statements.classify(sql)
                effect = session_effects.SettingChanged(small, "1")
                self.assertEqual(found.effects, ((effect,),))
                self.assertEqual(parse_assignment(found.sql).name, small)

    def test_list_element_that_needs_quotes_loses_them(self):
        found = statements.classify('SET search_path = "user", b')
        effect = session_effects.SettingChanged("search_path", '"user", b')
        self.assertEqual(found.effects, ((effect,),))

    def test_list_of_names_is_set_again_as_one_name(self):
        for name in (
            "search_path",
            "temp_tablespaces",
            "local_preload_libraries",
        ):
            with self.subTest(name):
                found = statements.classify(f'SET {name} = a, "B c"')
                ((effect,),) = found.effects
                change = backend_settings.plan_change(
                    {}, {name: effect.value}, False
                )
                (raw,) = parser.parse_sql(change.sql)
                # A SET would take the quoted list for one name.
                self.assertIsInstance(raw.stmt, ast.SelectStmt)


class ParameterTypeTest(unittest.TestCase):
    """The parameter types of a Parse."""

    def test_more_than_half_of_the_possible_types_are_dropped(self):
        for count in (0, 1, 32_767, 32_768, 65_535):
            with self.subTest(count):
                payload = wire.cstring("") + wire.cstring("SELECT $1")
                payload += count.to_bytes(2, "big")
                payload += (25).to_bytes(4, "big") * count
                session = session_rounds.SessionRounds(
                    statements.StatementCache()
                )
                session.add(wire.Message(b"P", payload))
                ready = session.add(wire.Message(b"S", b""))
                (parse, _) = ready.round_.steps
                (sent,) = wire.Framer().feed(parse.message)
                _, offset = wire.read_cstring(sent.payload)
                self.assertEqual(sent.payload[offset:], payload[1:])


class StartupOptionTest(unittest.TestCase):
    """The values in the options of a startup message."""

    def test_hyphen_in_a_value_becomes_an_underscore(self):
        cases = {
            "--search-path=my-schema": {"search_path": "my-schema"},
            "--app.a=x-y=--z-": {"app.a": "x-y=--z-"},
            "-c search-path=my-schema": {"search_path": "my-schema"},
            "-capp.a=--": {"app.a": "--"},
        }
        for text, expected in cases.items():
            with self.subTest(text):
                self.assertEqual(logins.parse_options(text), expected)

    def test_blank_of_unicode_ends_a_value(self):
        for blank in "\x1c\x1f\x85\u00a0\u2003\u2028\u3000":
            for value in (f"x{blank}y", f"x{blank}", f"{blank}x"):
                with self.subTest(value=ascii(value)):
                    options = f"-c app.a={value} --app.b=1"
                    self.assertEqual(
                        logins.parse_options(options),
                        {"app.a": value, "app.b": "1"},
                    )

    def test_blank_of_ascii_becomes_part_of_a_value(self):
        for blank in " \t\n\v\f\r":
            with self.subTest(blank=ascii(blank)):
                options = f"{blank}-c{blank}app.a=x{blank * 2}-capp.b=\\{blank}"
                self.assertEqual(
                    logins.parse_options(options),
                    {"app.a": "x", "app.b": blank},
                )

    def test_types_are_kept_without_limit(self):
        # A round carries what it uses to another instance, in one frame.
        count = 65_535
        session = session_rounds.SessionRounds(statements.StatementCache())
        kept = rounds.MAX_STATEMENT_CHARACTERS // (4 * count)
        for index in range(kept + 1):
            payload = wire.cstring(f"s{index}") + wire.cstring("")
            payload += count.to_bytes(2, "big") + bytes(4 * count)
            action = session.add(wire.Message(b"P", payload))
            if index < kept:
                self.assertIsNone(action)
        self.assertEqual(action.failure, outcomes.TOO_MANY_STATEMENTS)

    def test_round_within_its_limits_is_longer_than_a_frame(self):
        # Text and names may have four bytes for each character, and a round
        # may hold the unnamed statement of an earlier round.
        characters = rounds.MAX_STATEMENT_CHARACTERS
        characters += rounds.MAX_SETTINGS * rounds.MAX_SETTING_CHARACTERS * 2
        total = 2 * rounds.MAX_ROUND_BYTES + 4 * characters
        self.assertLess(total, links.DATA_MAX_BYTES)


class StartupNameTest(unittest.TestCase):
    """The names with which a caller logs in."""

    def test_key_or_database_is_trimmed_or_normalized(self):
        names = (" a", "a ", "a\t", "A", "\u00e9", "e\u0301", "\uff41")
        names += ("a\u00a0", "\ufb01", "\u00ad", "a\x7f", "\u2028")
        for name in names:
            with self.subTest(name=ascii(name)):
                packet = wire.startup_packet({"user": name, "database": name})
                startup = wire.parse_startup(packet[4:])
                caller = logins.parse_startup_request(
                    wire.parse_startup_parameters(startup.payload)
                )
                self.assertEqual((caller.user, caller.service), (name, name))


class ReportedSettingTest(unittest.TestCase):
    """The values that are reported to the caller."""

    def test_empty_search_path_is_reported_as_the_default(self):
        settings = session_settings.SessionSettings({"search_path": "a"})
        settings.change("search_path", "")
        self.assertEqual(settings.commit(), {"search_path": ""})
        settings = session_settings.SessionSettings({})
        settings.change("search_path", "")
        self.assertEqual(settings.commit(), {"search_path": ""})
        settings.change("search_path", None)
        self.assertEqual(settings.commit(), {"search_path": '"$user", public'})


if __name__ == "__main__":
    unittest.main()
