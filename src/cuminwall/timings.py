"""Intervals, timeouts and lease lengths, in seconds."""

from typing import NamedTuple


class Timings(NamedTuple):
    """All durations, in seconds.

    Attributes:
      tick_s: Interval of the reducer's tick events.
      probe_interval_s: Interval between probes of a backend server.
      probe_timeout_s: Timeout of a probe.
      write_lease_s: Length of a write lease.
      lease_renew_s: Interval between requests for write leases.
      steward_lease_s: Time to live of a steward's lease in the store.
      steward_renew_s: Interval between its renewals.
      promise_s: How long a successor's promise not to acquire the shard is
        valid.
      successor_delay_s: Additional delay before each next successor tries.
      orphan_s: How long a shard whose steward and successors are all gone
        stays vacant, so that no promise is valid any more.
      report_age_s: Maximum age of a server report that is still used.
      permit_s: How long an order to promote is valid.
      planned_drain_s: How long open transactions may delay a planned
        change of primary.
      promote_s: How long a promotion may take before another is tried.
      park_s: How long a request waits for a server that may serve it.
      replica_wait_s: How long a read waits for a replica to catch up.
      replica_ack_s: How long a write waits until a replica has it.
      relay_ask_s: Interval between requests to the relay.
      fresh_s: How long a configuration counts as current after it was last
        confirmed to be.
      withdrawn_grace_s: How long a running round of a withdrawn key may
        go on.
      idle_grace_s: How long an idle session that is no longer served stays
        open, so that its next request is refused instead of cut off.
      members_keep_s: How long an instance missing from the list is kept.
      store_timeout_s: Timeout of a call of the store.
      list_interval_s: Interval between reads of the instance list.
      drain_s: How long a graceful shutdown waits for open work.
      home_retry_s: How long an unreachable home is not tried again.
      share_lease_s: Lease time of an instance's share of a rate.
      share_floor_s: Lease time of the floor of a share.
      share_renew_s: Interval between regular requests for shares.
      share_wait_s: How long a request waits for a token of its workspace.
      connection_lease_s: Lease time of a home's share of a backend server's
        connections.
      connection_drain_s: How long a connection in use may outlast that lease.
    """

    tick_s: float = 0.05
    probe_interval_s: float = 0.1
    probe_timeout_s: float = 0.25
    write_lease_s: float = 1.5
    lease_renew_s: float = 0.4
    steward_lease_s: float = 3.0
    steward_renew_s: float = 0.75
    promise_s: float = 2.5
    successor_delay_s: float = 0.5
    orphan_s: float = 5.0
    report_age_s: float = 1.5
    permit_s: float = 1.0
    planned_drain_s: float = 4.0
    promote_s: float = 1.5
    park_s: float = 10.0
    replica_wait_s: float = 0.03
    replica_ack_s: float = 5.0
    relay_ask_s: float = 1.0
    fresh_s: float = 4.5
    withdrawn_grace_s: float = 1.0
    idle_grace_s: float = 2.0
    members_keep_s: float = 3.0
    home_retry_s: float = 1.0
    share_lease_s: float = 2.0
    share_floor_s: float = 180.0
    share_renew_s: float = 0.5
    share_wait_s: float = 0.25
    connection_lease_s: float = 10.0
    connection_drain_s: float = 60.0
    store_timeout_s: float = 1.0
    list_interval_s: float = 0.5
    drain_s: float = 60.0


DEFAULTS = Timings()
