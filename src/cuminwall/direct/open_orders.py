"""Orders to promote a server that may still be carried out.

An order that got no answer may be carried out seconds later, whoever leads by
then. It is closed once it is answered; where the platform checks the fencing
token, a newer order that is answered closes all before it. The order stands in
the store, with those before it that are open, and so does the newest order up
to which all are closed. A successor of the coordinator that gave them knows
thereby what is open.
"""

from cuminwall.direct.effects import Effect
from cuminwall.direct.servers_state import Group, OpenOrder, Server
from cuminwall.direct.state import State, SwapPurpose

SETTLED_PREFIX = "settled/"
# After which an order is no longer carried out, where the fencing token is
# checked. Newer orders close it sooner unless the platform is out of reach.
FENCED_LATE_ORDER_S = 15.0


def record(state: State, group: Group, order: int, server: str) -> None:
    """Records an order, unless it is known to be closed.

    Args:
      state: The state.
      group: The group.
      order: The store's revision of the order.
      server: The server that it names.
    """
    _drop_expired(state, group)
    if order <= group.settled_order or order in group.open_orders:
        return
    late_s = state.limits.late_order_s
    if state.limits.are_primaries_fenced:
        late_s = FENCED_LATE_ORDER_S
    group.open_orders[order] = OpenOrder(server, state.now + late_s)


def handle_answer(
    state: State, group: Group, order: int, is_done: bool, out: list[Effect]
) -> None:
    """Handles that an order was accepted or refused, or is not given at all.

    One that is refused since its server does not run may not have closed those
    before it.
    """
    if is_done and state.limits.are_primaries_fenced:
        close_up_to(group, order)
    else:
        group.open_orders.pop(order, None)
    if order != group.order or is_any_open(state, group):
        return
    name = SETTLED_PREFIX + group.service
    state.compare_and_swap(
        SwapPurpose.SETTLE,
        {name: state.shared_revisions.get(name, 0)},
        {name: str(order).encode()},
        frozenset(),
        0,
        out,
    )


def handle_settled(group: Group, value: bytes | None) -> None:
    """Handles the note in the store that the orders up to one are closed."""
    if value is not None and value.isdigit():
        close_up_to(group, int(value))


def close_up_to(group: Group, order: int) -> None:
    """Notes that the orders up to one can't be carried out any more."""
    group.settled_order = max(group.settled_order, order)
    for number in list(group.open_orders):
        if number <= order:
            del group.open_orders[number]


def is_any_open(state: State, group: Group) -> bool:
    """Returns whether an order may still be carried out."""
    _drop_expired(state, group)
    return bool(group.open_orders)


def pending_target(state: State, group: Group) -> str:
    """Returns the server that an order may yet make primary, or "".

    Only where nothing but time closes an order.
    """
    if state.limits.are_primaries_fenced or not is_any_open(state, group):
        return ""
    server = group.servers.get(group.ordered_primary)
    if server is None or server.is_gone:
        return ""
    return group.ordered_primary


def usurpers(state: State, group: Group) -> set[str]:
    """Returns the servers that open orders may put in the primary's place.

    Only where a newer order closes them.
    """
    if not state.limits.are_primaries_fenced:
        return set()
    _drop_expired(state, group)
    servers = {each.server for each in group.open_orders.values()}
    return servers - {group.primary}


def may_receive(state: State, group: Group, server: Server) -> bool:
    """Returns whether a replica may receive commits while orders are open.

    What it receives is acknowledged. It would be lost if another server, which
    lacks it, were promoted late.
    """
    servers = usurpers(state, group)
    return not servers or servers == {server.entry.server}


def encode(state: State, group: Group) -> list[list[int | str]]:
    """Returns the open orders as a JSON value."""
    _drop_expired(state, group)
    return [[order, each.server] for order, each in group.open_orders.items()]


def record_encoded(state: State, group: Group, value: list | None) -> None:
    """Records the open orders in a JSON value.

    Raises:
      ValueError: It is malformed.
      TypeError: It is malformed.
    """
    for order, server in value or []:
        record(state, group, int(order), str(server))


def _drop_expired(state: State, group: Group) -> None:
    """Drops orders that are too old to be carried out."""
    for number, each in list(group.open_orders.items()):
        if state.now >= each.until:
            del group.open_orders[number]
