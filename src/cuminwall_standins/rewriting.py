"""Rewrites a PostgreSQL statement for SQLite, token by token."""

from typing import NamedTuple

from pglast import parser

_COMMENTS = ("SQL_COMMENT", "C_COMMENT")
_SCHEMAS = ("public", "pg_catalog")
_OPEN = "("
_CLOSE = ")"
_TIME_WORDS = ("CURRENT_TIMESTAMP", "LOCALTIMESTAMP")
_USER_WORDS = ("CURRENT_USER", "SESSION_USER", "USER")
_LOCK_WORDS = ("UPDATE", "SHARE", "NO", "KEY", "OF", "NOWAIT", "SKIP", "LOCKED")
_SERIALS = ("serial", "bigserial", "smallserial", "serial4", "serial8")
_TYPE_SUFFIXES = ("precision", "varying", "with", "without", "time", "zone")
_CAST_TYPES = {
    "real": "REAL",
    "float": "REAL",
    "float4": "REAL",
    "float8": "REAL",
    "double": "REAL",
    "numeric": "NUMERIC",
    "decimal": "NUMERIC",
}
_CAST_FUNCTIONS = {
    "smallint": "to_int",
    "int2": "to_int",
    "int": "to_int",
    "int4": "to_int",
    "integer": "to_int",
    "bigint": "to_int",
    "int8": "to_int",
    "oid": "to_int",
    "bool": "to_bool",
    "boolean": "to_bool",
    "bytea": "to_bytea",
}


class _Piece(NamedTuple):
    text: str
    name: str


def rewrite(text: str, is_create_table: bool) -> str:
    """Returns the equivalent statement for SQLite.

    Args:
      text: One statement that is valid in PostgreSQL.
      is_create_table: Whether it is a CREATE TABLE.
    """
    pieces = _Rewriter(_tokens(text)).run()
    if is_create_table:
        pieces = _rewrite_columns(pieces)
    return " ".join(piece.text for piece in pieces)


def _tokens(text: str) -> list[_Piece]:
    pieces = []
    for token in parser.scan(text):
        if token.name in _COMMENTS or token.name == "ASCII_59":
            continue
        pieces.append(_Piece(text[token.start : token.end + 1], token.name))
    return pieces


class _Rewriter:
    """Rewrites the tokens of a statement in one pass from left to right."""

    def __init__(self, tokens: list[_Piece]):
        self.tokens = tokens
        self.index = 0
        self.output: list[_Piece] = []
        # For each open parenthesis, the output index of its CAST, or -1.
        self.casts: list[int] = []

    def run(self) -> list[_Piece]:
        while self.index < len(self.tokens):
            self.step()
        return self.output

    def peek(self, offset: int = 0) -> _Piece:
        index = self.index + offset
        if index < len(self.tokens):
            return self.tokens[index]
        return _Piece("", "")

    def step(self) -> None:
        piece = self.peek()
        self.index += 1
        if piece.name == "TYPECAST":
            self.write_cast(self.operand_start())
        elif piece.name == "FOR" and self.peek().name in _LOCK_WORDS:
            self.skip_locking_clause()
        elif piece.text.lower() in _SCHEMAS and self.peek().text == ".":
            self.index += 1
        elif piece.name == "AS" and self.casts and self.casts[-1] >= 0:
            start = self.casts.pop()
            del self.output[start : start + 2]
            self.write_cast(start)
            self.index += 1
        else:
            self.copy(piece)

    def copy(self, piece: _Piece) -> None:
        if piece.text == _OPEN:
            is_cast = bool(self.output) and self.output[-1].name == "CAST"
            self.casts.append(len(self.output) - 1 if is_cast else -1)
        elif piece.text == _CLOSE and self.casts:
            self.casts.pop()
        self.output.append(_rewrite_token(piece))

    def operand_start(self) -> int:
        """Returns the output index at which the operand of a `::` begins."""
        index = len(self.output) - 1
        if self.output[index].text == _CLOSE:
            depth = 0
            while True:
                depth += self.output[index].text == _CLOSE
                depth -= self.output[index].text == _OPEN
                if depth == 0:
                    break
                index -= 1
            if index and self.output[index - 1].name == "IDENT":
                index -= 1
        while index > 1 and self.output[index - 1].text == ".":
            index -= 2
        return index

    def write_cast(self, start: int) -> None:
        """Replaces the output from `start` on and the next type by a cast."""
        operand = " ".join(piece.text for piece in self.output[start:])
        del self.output[start:]
        type_name = self.read_type()
        if type_name in _CAST_FUNCTIONS:
            text = f"{_CAST_FUNCTIONS[type_name]}({operand})"
        else:
            text = f"CAST({operand} AS {_CAST_TYPES.get(type_name, 'TEXT')})"
        self.output.append(_Piece(text, "CAST_DONE"))

    def read_type(self) -> str:
        if self.peek(1).text == ".":
            self.index += 2
        type_name = self.peek().text.lower().strip('"')
        self.index += 1
        while True:
            if self.peek().text.lower() in _TYPE_SUFFIXES:
                self.index += 1
            elif self.peek().text == _OPEN:
                while self.peek(-1).text != _CLOSE:
                    self.index += 1
            else:
                return type_name

    def skip_locking_clause(self) -> None:
        while self.peek().name in _LOCK_WORDS:
            is_list = self.peek().name == "OF"
            self.index += 1
            while is_list and self.peek().name in ("IDENT", "ASCII_44"):
                self.index += 1


def _rewrite_token(piece: _Piece) -> _Piece:
    if piece.name == "PARAM":
        return _Piece("?" + piece.text[1:], piece.name)
    if piece.name in _TIME_WORDS:
        return _Piece("now()", piece.name)
    if piece.name in _USER_WORDS:
        return _Piece("current_user()", piece.name)
    if piece.name == "SCONST":
        return _Piece(_rewrite_string(piece.text), piece.name)
    return piece


def _rewrite_string(text: str) -> str:
    if text.startswith("$"):
        tag = text[: text.index("$", 1) + 1]
        body = text[len(tag) : -len(tag)]
        return "'" + body.replace("'", "''") + "'"
    if text[0] in "eE":
        body = text[2:-1].replace("\\'", "''")
        return "'" + body.replace("\\\\", "\\") + "'"
    return text


def _rewrite_columns(pieces: list[_Piece]) -> list[_Piece]:
    """Rewrites generated keys and defaults to the syntax of SQLite."""
    output: list[_Piece] = []
    index = 0
    generated = False
    while index < len(pieces):
        piece = pieces[index]
        following = pieces[index + 1] if index + 1 < len(pieces) else piece
        index += 1
        if piece.text.lower() in _SERIALS:
            output.append(_Piece("INTEGER", "IDENT"))
            generated = True
        elif piece.name == "GENERATED":
            output[-1] = _Piece("INTEGER", "IDENT")
            generated = True
            while pieces[index - 1].name != "IDENTITY_P":
                index += 1
        elif piece.name == "KEY" and generated:
            output.append(_Piece("KEY AUTOINCREMENT", "KEY"))
            generated = False
        elif piece.name == "DEFAULT" and following.name in (
            "IDENT",
            "CAST_DONE",
            *_TIME_WORDS,
        ):
            output.append(piece)
            index = _copy_default(pieces, index, output)
        else:
            output.append(piece)
    return output


def _copy_default(
    pieces: list[_Piece], index: int, output: list[_Piece]
) -> int:
    """Copies the expression of a default, in the parentheses SQLite needs."""
    output.append(_Piece(_OPEN, ""))
    output.append(pieces[index])
    index += 1
    if index < len(pieces) and pieces[index].text == _OPEN:
        while pieces[index].text != _CLOSE:
            output.append(pieces[index])
            index += 1
        output.append(pieces[index])
        index += 1
    output.append(_Piece(_CLOSE, ""))
    return index
