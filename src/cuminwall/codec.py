"""CBOR encoding of typed messages between instances.

A message is an array: the number of its type, then its fields. Fields that
are messages or plain tuples are encoded the same way; a failure is encoded as
its reason.

While a fleet is upgraded, processes of two versions exchange messages. A new
field is added at the end of its type, with a default for messages that lack it;
a process that does not know it ignores it. A field that must not be ignored
makes another type.
"""

from typing import Any

import cbor2

from cuminwall import exceptions, outcomes

_PLAIN = -1  # Marks an array that is a plain tuple.
_FAILURE = -2  # Marks a failure, followed by its reason.


class Codec:
    """Encodes and decodes messages of the given types.

    Attributes:
      types: The NamedTuple types; the index of a type is its number.
      numbers: The number of each type.
      sizes: How many fields each type has, by its number.
    """

    def __init__(self, types: tuple[type, ...]):
        self.types = types
        self.numbers = {type_: number for number, type_ in enumerate(types)}
        self.sizes = [len(type_.__annotations__) for type_ in types]

    def encode(self, message: Any) -> bytes:
        """Returns the CBOR encoding of a message."""
        return cbor2.dumps(self._pack(message))

    def decode(self, data: bytes) -> Any:
        """Returns the message encoded in `data`.

        Raises:
          exceptions.ProtocolError: The bytes are not a message of these types.
        """
        try:
            value = self._unpack(cbor2.loads(data))
        except (
            cbor2.CBORDecodeError,
            IndexError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise exceptions.ProtocolError("malformed message") from error
        if type(value) not in self.numbers:
            raise exceptions.ProtocolError("message has no known type")
        return value

    def _pack(self, value: Any) -> Any:
        if not isinstance(value, tuple):
            return value
        if isinstance(value, outcomes.Failure):
            return [_FAILURE, value.reason]
        packed: list[Any] = [self.numbers.get(type(value), _PLAIN)]
        for field in value:
            packed.append(self._pack(field))
        return packed

    def _unpack(self, value: Any) -> Any:
        if not isinstance(value, list):
            return value
        number = value[0]
        if number == _FAILURE:
            return outcomes.BY_REASON[value[1]]
        fields = [self._unpack(field) for field in value[1:]]
        if number == _PLAIN:
            return tuple(fields)
        if number < 0:
            raise ValueError(number)
        return self.types[number](*fields[: self.sizes[number]])
