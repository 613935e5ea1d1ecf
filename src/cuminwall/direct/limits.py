"""The durations and bounds that the reducer uses."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Durations in seconds, and counts.

    Bounds given by the deployment override the defaults.

    Attributes:
      mark_margin_s: Subtracted from the age that a read accepts, for
        the time between the choice of server and the read.
      mark_step_s: Minimum time between two recorded watermarks.
      lagging_s: How long reads avoid a server that lacked a position.
      suspect_s: How long an unreachable server is avoided.
      full_s: How long an overloaded server is avoided.
      connect_s: Timeout of opening a connection.
      idle_connection_s: How long an idle connection is kept.
      least_wait_s: Minimum time that an operation with a token may wait for a
        connection.
      wait_part: The fraction of a route's target latency that an
        operation may wait for a connection.
      primary_wait_s: How long an operation may wait for a new primary.
      silence_s: How long a server may leave a statement unanswered
        before it is reported to the coordinator.
      max_attempts: Maximum number of attempts to run one operation.
      token_wait_s: How long an operation may wait for a token.
      vacant_wait_s: The same while there is no coordinator.
      revoked_s: How long an open transaction of a withdrawn key may be
        idle.
      handover_s: Expected duration of a switchover.
      failover_s: Expected duration of a failover.
      overdue_s: How far either may exceed that before operations are refused.
      last_lead_s: How long a primary that is to be replaced still gets
        operations.
      instance_lease_s: Time to live of the coordinator's lease.
      lease_renew_s: Interval between its renewals.
      ask_s: Interval between share requests.
      share_lease_s: Lease time of a share.
      share_floor_s: Lease time of the floor of a share.
      unled_s: How long the coordinator grants shares without its
        own lease.
      grace_s: Time from the shutdown signal to the kill.
      close_lot_s: Interval between batches of closed sessions at shutdown.
      catch_up_s: How long a switchover waits for a replica to catch up.
      order_retry_s: How long a promotion order may take before the next one
        is given.
      doubt_s: How long a primary may be unreachable before it is
        replaced.
      status_s: Timeout of an inquiry.
      behind_s: How long a peer may report a newer configuration before
        the store is read again.
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
