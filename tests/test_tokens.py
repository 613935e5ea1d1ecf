"""The session token as text."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cuminwall import outcomes, tokens, work

quiet = settings(derandomize=True, deadline=None, database=None)
positions = st.builds(
    work.Position, st.integers(1, (1 << 63) - 1), st.integers(0, (1 << 64) - 1)
)


class TokenTest(unittest.TestCase):
    """Tokens come back as they went, and garbage is refused."""

    @quiet
    @given(position=positions)
    def test_a_floor_is_decoded_again(self, position):
        token = tokens.encode("ledger-core", position)
        self.assertEqual(tokens.decode("ledger-core", token), position)

    @quiet
    @given(position=positions)
    def test_a_token_of_another_service_is_refused(self, position):
        token = tokens.encode("ledger-core", position)
        found = tokens.decode("billing-db", token)
        self.assertIs(found, outcomes.BAD_TOKEN)

    @quiet
    @given(
        token=st.text()
        | st.text(alphabet="1.ledgrABF-+_ 0x", max_size=30)
        | st.text(max_size=9).map(lambda text: f"1.ledger.1.{text}")
    )
    @example(token="")
    @example(token="1.ledger.0.0")
    @example(token="1.ledger.1.-1")
    @example(token="1.ledger.1." + "F" * 17)
    @example(token="1.ledger." + "9" * 5000 + ".0")
    def test_any_text_gives_a_position_in_range_or_bad_token(self, token):
        found = tokens.decode("ledger", token)
        if found is outcomes.BAD_TOKEN:
            return
        self.assertIsInstance(found, work.Position)
        self.assertTrue(1 <= found.term < 1 << 63)
        self.assertTrue(0 <= found.lsn < 1 << 64)
