"""Bounds on the size and depth of a statement, checked before it is parsed.

The parser builds its tree by recursion on the C stack, so a chain of a few ten
thousand operators would crash the process. The lexer does not recurse.
"""

from collections.abc import Iterable

from pglast import parser

MAX_UNCHECKED_CHARACTERS = 4096
MAX_TOKENS = 20_000
MAX_DEPTH = 1_000

_OPENING = frozenset({"ASCII_40", "ASCII_91"})
_CLOSING = frozenset({"ASCII_41", "ASCII_93"})
_SEPARATORS = frozenset({"ASCII_44", "ASCII_59"})
# Each of these makes the tree one level deeper, even after a comma.
_NESTING = frozenset({"UNION", "INTERSECT", "EXCEPT", "JOIN"})


def estimate_depth(names: Iterable[str]) -> int:
    """Returns an upper bound of the tree's depth from the token names.

    Within one pair of brackets, the depth is at most the number of tokens
    since the last comma.
    """
    enclosing: list[int] = []
    current = 0
    total_enclosing = 0
    nesting = 0
    deepest = 0
    for name in names:
        if name in _SEPARATORS:
            current = 0
            continue
        if name in _CLOSING:
            if enclosing:
                current = enclosing.pop()
                total_enclosing -= current
            continue
        current += 1
        if name in _NESTING:
            nesting += 1
        if name in _OPENING:
            enclosing.append(current)
            total_enclosing += current
            current = 0
        deepest = max(deepest, total_enclosing + current + nesting)
    return deepest


def is_within_bounds(sql: str) -> bool:
    """Returns whether `sql` may be parsed.

    Raises:
      pglast.parser.ParseError: The lexer rejected the text.
    """
    if len(sql) <= MAX_UNCHECKED_CHARACTERS:
        return True
    tokens = parser.scan(sql)
    if len(tokens) > MAX_TOKENS:
        return False
    return estimate_depth(token.name for token in tokens) <= MAX_DEPTH
