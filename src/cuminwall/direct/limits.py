"""Every duration and bound that the decisions use."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Durations in seconds, and counts.

    The deployment's own bounds replace the defaults where it gives any.

    Attributes:
      watermark_margin_s: Kept off the age that a read accepts, for what passes
        between the decision and the read.
      watermark_interval_s: The least time between two remembered positions.
      lagging_pause_s: How long a server that lacked a position is left alone.
      unreachable_pause_s: How long a server that could not be reached is left alone.
      overload_pause_s: How long a server that took no more work is left alone.
      connect_timeout_s: How long opening a connection may take.
      idle_connection_s: How long an unused connection is kept.
      min_wait_s: The least time that work may wait for room once it has
        its token.
      wait_fraction: The part of a route's target that work may wait for room.
      primary_wait_s: How long work may wait for a new primary.
      silence_timeout_s: How long a server may be silent before the coordinator is
        told.
      max_attempts: How many servers one statement is offered to.
      token_wait_s: How long work may wait for its workspace's tokens.
      no_coordinator_wait_s: The same while nobody coordinates.
      withdrawn_key_grace_s: How long an open transaction of a withdrawn key may rest.
      switchover_s: How long a planned change of primary should take.
      failover_s: How long the change of a lost primary should take.
      overdue_s: How much longer a change may take before work is refused.
      old_primary_grace_s: How long a primary that is to be replaced still gets work.
      instance_lease_s: Time to live of the coordinator's lease.
      lease_renew_s: Between two renewals of it.
      share_request_interval_s: Between two asks for shares.
      share_lease_s: How long a share is lent.
      share_floor_s: How long the floor of a share is lent.
      lend_without_lease_s: How long the coordinator lends on without its lease.
      grace_s: From the order to end to the kill.
      close_interval_s: Between two lots of sessions that are closed.
      catch_up_timeout_s: How long a planned promotion waits for a replica.
      promotion_retry_s: How long an order to promote may take before the next.
      primary_unreachable_s: How long a primary may be out of reach before it is replaced.
      inquiry_timeout_s: How long a status query may take.
      stale_config_s: How long a peer may have a newer configuration before the
        store is read again.
    """

    watermark_margin_s: float = 0.3
    watermark_interval_s: float = 0.05
    lagging_pause_s: float = 0.5
    unreachable_pause_s: float = 1.0
    overload_pause_s: float = 0.1
    connect_timeout_s: float = 0.6
    idle_connection_s: float = 20.0
    min_wait_s: float = 0.15
    wait_fraction: float = 1.0
    primary_wait_s: float = 1.2
    silence_timeout_s: float = 0.3
    max_attempts: int = 4
    token_wait_s: float = 0.15
    no_coordinator_wait_s: float = 0.4
    withdrawn_key_grace_s: float = 1.0
    switchover_s: float = 1.0
    failover_s: float = 2.2
    overdue_s: float = 0.8
    old_primary_grace_s: float = 2.0
    instance_lease_s: float = 1.0
    lease_renew_s: float = 0.2
    share_request_interval_s: float = 0.4
    share_lease_s: float = 12.0
    share_floor_s: float = 13.0
    lend_without_lease_s: float = 60.0
    grace_s: float = 6.0
    close_interval_s: float = 0.05
    catch_up_timeout_s: float = 1.0
    promotion_retry_s: float = 1.5
    primary_unreachable_s: float = 0.3
    inquiry_timeout_s: float = 0.5
    stale_config_s: float = 0.3


DEFAULTS = Limits()
