"""PostgreSQL types and the text and binary formats of their values.

The engine uses SQLite's values: None, int, float, str and bytes. Booleans are
the integers 0 and 1, timestamps are ISO text in UTC.
"""

import datetime
import struct

from cuminwall_standins import errors

Value = None | int | float | str | bytes

BOOL = 16
BYTEA = 17
INT8 = 20
INT2 = 21
INT4 = 23
TEXT = 25
FLOAT4 = 700
FLOAT8 = 701
UNKNOWN = 705
TIMESTAMP = 1114
TIMESTAMPTZ = 1184
NUMERIC = 1700
VOID = 2278

OIDS = {
    "bool": BOOL,
    "boolean": BOOL,
    "bytea": BYTEA,
    "bigint": INT8,
    "int8": INT8,
    "bigserial": INT8,
    "smallint": INT2,
    "int2": INT2,
    "int": INT4,
    "integer": INT4,
    "int4": INT4,
    "serial": INT4,
    "real": FLOAT4,
    "float4": FLOAT4,
    "float": FLOAT8,
    "float8": FLOAT8,
    "double precision": FLOAT8,
    "numeric": NUMERIC,
    "decimal": NUMERIC,
    "timestamp": TIMESTAMP,
    "timestamptz": TIMESTAMPTZ,
    "timestamp with time zone": TIMESTAMPTZ,
}

_BINARY_FORMATS = {
    INT2: struct.Struct("!h"),
    INT4: struct.Struct("!i"),
    INT8: struct.Struct("!q"),
    FLOAT4: struct.Struct("!f"),
    FLOAT8: struct.Struct("!d"),
}
_TEXT_OIDS = (TEXT, UNKNOWN, 0, 18, 19, 114, 1042, 1043, VOID)
_INTEGER_OIDS = (INT2, INT4, INT8)
_FLOAT_OIDS = (FLOAT4, FLOAT8, NUMERIC)
_TIME_OIDS = (TIMESTAMP, TIMESTAMPTZ)
_TRUE_WORDS = ("t", "true", "y", "yes", "on", "1")
_FALSE_WORDS = ("f", "false", "n", "no", "off", "0")
_EPOCH = datetime.datetime(2000, 1, 1, tzinfo=datetime.UTC)
_MICROSECOND = datetime.timedelta(microseconds=1)


def type_oid(name: str) -> int:
    """Returns the OID of a type name, or that of text if it is unknown."""
    return OIDS.get(name.lower().split("(")[0].strip(), TEXT)


def format_time(moment: datetime.datetime) -> str:
    """Returns a timestamp as PostgreSQL prints it."""
    text = moment.astimezone(datetime.UTC).isoformat(" ", "microseconds")
    return text.removesuffix(":00")


def parse_bool(text: str) -> int:
    """Returns 0 or 1.

    Raises:
      errors.SqlError: The text is not a boolean.
    """
    word = text.strip().lower()
    if word in _TRUE_WORDS:
        return 1
    if word in _FALSE_WORDS:
        return 0
    raise errors.SqlError("22P02", f'invalid input for type boolean: "{text}"')


def parse_bytea(text: str) -> bytes:
    """Returns the bytes of a hexadecimal bytea text."""
    if text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    return text.encode()


def encode(value: Value, oid: int, format_code: int) -> bytes | None:
    """Returns a value encoded for a DataRow.

    Raises:
      errors.SqlError: The value cannot be encoded in this type and format.
    """
    if value is None:
        return None
    if format_code == 1:
        return _encode_binary(value, oid)
    if oid == BOOL:
        return b"t" if value else b"f"
    if isinstance(value, bytes):
        return b"\\x" + value.hex().encode()
    if isinstance(value, float) and oid in _INTEGER_OIDS:
        # SQLite switches to floating point when an integer overflows.
        raise errors.SqlError("22003", f"integer out of range: {value}")
    if isinstance(value, float) and value.is_integer() and abs(value) < 1e15:
        return str(int(value)).encode()
    return str(value).encode()


def _encode_binary(value: Value, oid: int) -> bytes:
    if oid == BOOL:
        return b"\1" if value else b"\0"
    if isinstance(value, bytes):
        return value
    try:
        if oid in _INTEGER_OIDS:
            return _BINARY_FORMATS[oid].pack(value)
        if oid in _BINARY_FORMATS:
            return _BINARY_FORMATS[oid].pack(float(value or 0))
        if oid in _TIME_OIDS:
            moment = datetime.datetime.fromisoformat(str(value))
            if moment.tzinfo is None:
                moment = moment.replace(tzinfo=datetime.UTC)
            return struct.pack("!q", (moment - _EPOCH) // _MICROSECOND)
    except (ValueError, struct.error) as error:
        raise errors.SqlError(
            "22003", f"value out of range: {value}"
        ) from error
    if oid in _TEXT_OIDS:
        return str(value).encode()
    raise errors.SqlError("0A000", f"no binary output for type {oid}")


def decode(data: bytes | None, oid: int, format_code: int) -> Value:
    """Returns the value of a parameter of a Bind.

    Raises:
      errors.SqlError: The bytes are not a valid value of the type.
    """
    if data is None:
        return None
    try:
        if format_code == 1:
            return _decode_binary(data, oid)
        return _decode_text(data.decode(), oid)
    except (ValueError, struct.error) as error:
        raise errors.SqlError(
            "22P02", f"invalid input for type {oid}: {data!r}"
        ) from error


def _decode_text(text: str, oid: int) -> Value:
    if oid == BOOL:
        return parse_bool(text)
    if oid in _INTEGER_OIDS:
        return int(text)
    if oid in _FLOAT_OIDS:
        return float(text)
    if oid == BYTEA:
        return parse_bytea(text)
    return text


def _decode_binary(data: bytes, oid: int) -> Value:
    if oid == BOOL:
        return data[0]
    if oid == BYTEA:
        return data
    if oid in _BINARY_FORMATS:
        return _BINARY_FORMATS[oid].unpack(data)[0]
    if oid in _TIME_OIDS:
        (microseconds,) = struct.unpack("!q", data)
        return format_time(_EPOCH + microseconds * _MICROSECOND)
    if oid in _TEXT_OIDS:
        return data.decode()
    raise errors.SqlError("0A000", f"no binary input for type {oid}")
