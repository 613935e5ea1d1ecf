"""The durations and bounds that the reducer uses."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Durations in seconds, and counts.

    Bounds given by the deployment override the defaults.

    Attributes:
      watermark_margin_s: Subtracted from the age that a read accepts, for
        the time between the choice of server and the read.
      watermark_interval_s: Minimum time between two recorded watermarks.
      lagging_pause_s: How long reads avoid a server that lacked a position.
      unreachable_pause_s: How long an unreachable server is avoided.
      overload_pause_s: How long an overloaded server is avoided.
      connect_timeout_s: Timeout of opening a connection.
      idle_connection_s: How long an idle connection is kept.
      borrowed_idle_s: The same beyond this instance's share of a server's
        connections.
      min_wait_s: Minimum time that an operation with a token may wait for a
        connection.
      wait_fraction: The fraction of a route's target latency that an
        operation may wait for a connection.
      primary_wait_s: How long an operation may wait for a new primary.
      silence_timeout_s: How long a server may leave a statement unanswered
        before it is reported to the coordinator.
      max_attempts: Maximum number of attempts to run one operation.
      token_wait_s: How long an operation may wait for a token.
      no_coordinator_wait_s: The same while there is no coordinator.
      withdrawn_key_grace_s: How long an open transaction of a withdrawn key
        may be idle.
      switchover_s: Expected duration of a switchover.
      failover_s: Expected duration of a failover.
      overdue_s: How far either may exceed that before operations are refused.
      old_primary_grace_s: How long a primary that is to be replaced still gets
        operations.
      instance_lease_s: Time to live of the coordinator's lease.
      lease_renew_s: Interval between its renewals.
      share_request_interval_s: Interval between share requests.
      share_lease_s: Lease time of a share.
      share_floor_s: Lease time of the floor of a share.
      lend_without_lease_s: How long the coordinator grants shares without its
        own lease.
      grace_s: Time from the shutdown signal to the kill.
      close_interval_s: Interval between batches of closed sessions at shutdown.
      catch_up_timeout_s: How long a switchover waits for a replica to catch up.
      promotion_retry_s: How long a promotion order may take before the next one
        is given.
      primary_unreachable_s: How long a primary may be unreachable before it is
        replaced.
      inquiry_timeout_s: Timeout of an inquiry.
      are_primaries_fenced: Whether a replaced primary refuses to act as one. If
        not, instances use a primary only under a lease.
      primary_lease_s: Duration of a lease on a primary in a small fleet. It
        outlasts a change of coordinator; a failover waits for it when a holder
        can't be reached.
      max_primary_lease_s: The same in a large fleet, where changes of the store
        are seen later.
      late_order_s: How long after an order that got no answer it may still be
        carried out.
      unled_order_s: How long a server that was ordered to be primary may not
        act as one before another order is given.
      usage_window_s: Length of the windows of wall-clock time whose usage is
        reported; 0 if it isn't.
      usage_delay_s: How long after the end of a window it must be reported.
      usage_retry_s: How long a report may be unanswered before it is sent
        again.
      duty_lease_s: How long after a change of coordinator the new one reports
        nothing, so that two can't take turns.
      cores: How many processor cores this process may use, in full cores.
      config_apply_s: By when a new configuration must be in force.
      stale_config_s: How long a peer may report a newer configuration before
        the store is read again.
      memory_bytes: The memory of this machine, or None if it isn't known.
      descriptors: The descriptors that this process may open, or None.
    """

    watermark_margin_s: float = 0.3
    watermark_interval_s: float = 0.05
    lagging_pause_s: float = 0.5
    unreachable_pause_s: float = 1.0
    overload_pause_s: float = 0.1
    connect_timeout_s: float = 0.6
    idle_connection_s: float = 20.0
    borrowed_idle_s: float = 0.25
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
    are_primaries_fenced: bool = True
    primary_lease_s: float = 2.0
    max_primary_lease_s: float = 3.0
    late_order_s: float = 7.0
    unled_order_s: float = 2.0
    config_apply_s: float = 3.0
    stale_config_s: float = 0.3
    usage_window_s: float = 0.0
    usage_delay_s: float = 0.0
    usage_retry_s: float = 2.0
    duty_lease_s: float = 3.0
    cores: float = 1.0
    memory_bytes: int | None = None
    descriptors: int | None = None


DEFAULTS = Limits()
