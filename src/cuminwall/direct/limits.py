"""Every duration and bound that the decisions use."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Durations in seconds, and counts.

    The deployment's own bounds replace the defaults where it gives any.

    Attributes:
      mark_margin_s: Kept off the age that a read accepts, for what passes
        between the decision and the read.
      mark_step_s: The least time between two remembered positions.
      lagging_s: How long a server that lacked a position is left alone.
      suspect_s: How long a server that could not be reached is left alone.
      full_s: How long a server that took no more work is left alone.
      connect_s: How long opening a connection may take.
      idle_connection_s: How long an unused connection is kept.
      least_wait_s: The least time that work may wait for room once it has
        its token.
      wait_part: The part of a route's target that work may wait for room.
      primary_wait_s: How long work may wait for a new primary.
      silence_s: How long a server may be silent before the coordinator is
        told.
      max_attempts: How many servers one statement is offered to.
      token_wait_s: How long work may wait for its workspace's tokens.
      vacant_wait_s: The same while nobody coordinates.
      revoked_s: How long an open transaction of a withdrawn key may rest.
      handover_s: How long a planned change of primary should take.
      failover_s: How long the change of a lost primary should take.
      overdue_s: How much longer a change may take before work is refused.
      last_lead_s: How long a primary that is to be replaced still gets work.
      instance_lease_s: Time to live of the coordinator's lease.
      lease_renew_s: Between two renewals of it.
      ask_s: Between two asks for shares.
      share_lease_s: How long a share is lent.
      share_floor_s: How long the floor of a share is lent.
      unled_s: How long the coordinator lends on without its lease.
      grace_s: From the order to end to the kill.
      close_lot_s: Between two lots of sessions that are closed.
      catch_up_s: How long a planned promotion waits for a replica.
      order_retry_s: How long an order to promote may take before the next.
      doubt_s: How long a primary may be out of reach before it is replaced.
      status_s: How long a status query may take.
      behind_s: How long a peer may have a newer configuration before the
        store is read again.
    """

    mark_margin_s: float = 0.3
    mark_step_s: float = 0.05
    lagging_s: float = 0.5
    suspect_s: float = 1.0
    full_s: float = 0.1
    connect_s: float = 0.6
    idle_connection_s: float = 20.0
    least_wait_s: float = 0.15
    wait_part: float = 1.0
    primary_wait_s: float = 1.2
    silence_s: float = 0.3
    max_attempts: int = 4
    token_wait_s: float = 0.15
    vacant_wait_s: float = 0.4
    revoked_s: float = 1.0
    handover_s: float = 1.0
    failover_s: float = 2.2
    overdue_s: float = 0.8
    last_lead_s: float = 2.0
    instance_lease_s: float = 1.0
    lease_renew_s: float = 0.2
    ask_s: float = 0.4
    share_lease_s: float = 12.0
    share_floor_s: float = 13.0
    unled_s: float = 60.0
    grace_s: float = 6.0
    close_lot_s: float = 0.05
    catch_up_s: float = 1.0
    order_retry_s: float = 1.5
    doubt_s: float = 0.3
    status_s: float = 0.5
    behind_s: float = 0.3


DEFAULTS = Limits()
