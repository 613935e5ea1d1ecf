"""Session tokens: a session's floor as text, for use in another session."""

from cuminwall import outcomes, work

VERSION = "1"


def encode(service: str, floor: work.Position) -> str:
    """Returns the token, for example "1.billing.3.16B3748"."""
    return f"{VERSION}.{service}.{floor.term}.{floor.lsn:X}"


def decode(service: str, token: str) -> work.Position | outcomes.Failure:
    """Returns the floor in a token of `service`, or `BAD_TOKEN`."""
    parts = token.split(".")
    if len(parts) != 4 or parts[0] != VERSION or parts[1] != service:
        return outcomes.BAD_TOKEN
    try:
        term = int(parts[2], 10)
        lsn = int(parts[3], 16)
    except ValueError:
        return outcomes.BAD_TOKEN
    if term < 1 or lsn < 0 or term >= 1 << 63 or lsn >= 1 << 64:
        return outcomes.BAD_TOKEN
    return work.Position(term, lsn)
