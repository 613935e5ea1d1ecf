"""Tests of the CBOR encoding of messages and frames."""

import enum
import math
import types
import typing
import unittest

import cbor2
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cuminwall import exceptions, frames, messages, outcomes
from cuminwall.direct import messages as direct_messages

quiet = settings(derandomize=True, deadline=None, database=None)
brief = settings(quiet, max_examples=25)
PLAIN = {
    int: st.integers(-(1 << 63), (1 << 64) - 1),
    float: st.floats(allow_nan=False),
    bool: st.booleans(),
    str: st.text(max_size=20),
    bytes: st.binary(max_size=20),
    types.NoneType: st.none(),
}
ALL_CODECS = (messages.CODEC, frames.CODEC, direct_messages.CODEC)
values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5)
    | st.sampled_from(sorted(outcomes.BY_REASON)),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(
            st.integers() | st.text(max_size=3), inner, max_size=3
        )
    ),
    max_leaves=20,
)


def strategy_for(hint):
    """Returns a strategy for values of a field type."""
    if hint in PLAIN:
        return PLAIN[hint]
    if hint is outcomes.Failure:
        return st.sampled_from(list(outcomes.BY_REASON.values()))
    if typing.get_origin(hint) is tuple:
        parts = typing.get_args(hint)
        if parts[-1] is Ellipsis:
            items = st.lists(strategy_for(parts[0]), max_size=3)
            return items.map(tuple)
        return st.tuples(*(strategy_for(part) for part in parts))
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        parts = typing.get_args(hint)
        return st.one_of(*(strategy_for(part) for part in parts))
    if issubclass(hint, enum.Enum):
        return st.sampled_from(list(hint))
    hints = typing.get_type_hints(hint)
    fields = {name: strategy_for(hints[name]) for name in hint._fields}
    return st.builds(hint, **fields)


class CodecTest(unittest.TestCase):
    """Messages survive a round trip; malformed data is a protocol error."""

    def check_type(self, codec, type_):
        @brief
        @given(message=strategy_for(type_))
        def comes_back(message):
            found = codec.decode(codec.encode(message))
            self.assertEqual(found, message)
            self.assertIs(type(found), type_)

        comes_back()

    def test_every_message_survives_a_round_trip(self):
        for type_ in messages.TYPES:
            with self.subTest(type=type_.__name__):
                self.check_type(messages.CODEC, type_)

    def test_every_frame_survives_a_round_trip(self):
        for type_ in frames.TYPES:
            with self.subTest(type=type_.__name__):
                self.check_type(frames.CODEC, type_)

    def check_malformed(self, data):
        for codec in ALL_CODECS:
            try:
                found = codec.decode(data)
            except exceptions.ProtocolError:
                continue
            self.assertIn(type(found), codec.numbers)

    @quiet
    @given(data=st.binary())
    @example(data=b"\x81" * 100_000)
    @example(data=b"\x82\x00" * 300 + b"\x00")
    @example(data=b"\x82\x00" * 600 + b"\x00")
    @example(data=b"\x82\x00" * 900 + b"\x00")
    def test_bytes_give_a_message_or_a_protocol_error(self, data):
        self.check_malformed(data)

    @quiet
    @given(value=values)
    def test_values_give_a_message_or_a_protocol_error(self, value):
        self.check_malformed(cbor2.dumps(value))

    def test_a_message_with_missing_fields_is_a_protocol_error(self):
        number = messages.CODEC.numbers[messages.LeaseRelease]
        with self.assertRaises(exceptions.ProtocolError):
            messages.decode(cbor2.dumps([number, 0, "ledger"]))


class MixedVersionsTest(unittest.TestCase):
    """While a fleet is upgraded, messages may have other fields."""

    def check_type(self, codec, type_):
        @brief
        @given(message=strategy_for(type_), added=PLAIN[str])
        def is_read(message, added):
            packed = cbor2.loads(codec.encode(message))
            found = codec.decode(cbor2.dumps([*packed, added]))
            self.assertEqual(found, message)

        is_read()

    def test_added_field_is_ignored(self):
        for codec in ALL_CODECS:
            for type_ in codec.types:
                with self.subTest(type=type_.__name__):
                    self.check_type(codec, type_)

    def test_reply_of_an_older_coordinator_confirms_nothing(self):
        reply = direct_messages.ShareReply(7, 3, (), 1, 0.1, True, 50.0)
        packed = cbor2.loads(direct_messages.CODEC.encode(reply))
        for count in (8, 9):
            found = direct_messages.CODEC.decode(cbor2.dumps(packed[:count]))
            self.assertEqual(found.view_age_s, math.inf)
            self.assertEqual(found.number, 7)
