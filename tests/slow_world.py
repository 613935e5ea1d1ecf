"""A simulation of instances with narrow network links and slow processors.

Everything that reaches or leaves an instance's process waits for its turn on
the link and then on the processor, the answers of the store included.
"""

import collections
from typing import Any

from cuminwall.direct import effects, events, messages
from tests import direct_world

BANDWIDTH = 5e6 / 8  # Bytes a second, in each direction.
OVERHEAD_BYTES = 60  # Of a message on the wire.
STORE_CALL_BYTES = 300
MESSAGE_S = 0.0004  # Processor time of one message, at half a core.
REPORT_S = 0.0001  # The same of one report in it.


class Machine:
    """The link and the processor of one instance.

    Attributes:
      sent_until: Until when its link is busy with sending.
      received_until: Until when its link is busy with receiving.
      busy_until: Until when its processor is busy.
      received: How many messages of each type it received from peers.
    """

    def __init__(self) -> None:
        self.sent_until = 0.0
        self.received_until = 0.0
        self.busy_until = 0.0
        self.received: collections.Counter[type] = collections.Counter()

    def send(self, now: float, size: int) -> float:
        """Returns when a message sent now has left the machine."""
        self.sent_until = max(now, self.sent_until) + size / BANDWIDTH
        return self.sent_until

    def receive(self, now: float, size: int, work_s: float) -> float:
        """Returns when what arrives now is handled by the process."""
        arrived = max(now, self.received_until) + size / BANDWIDTH
        self.received_until = arrived
        self.busy_until = max(arrived, self.busy_until) + work_s
        return self.busy_until


class SlowWorld(direct_world.World):
    """A world whose instances run on such machines."""

    def __init__(self, *args: Any, **kwargs: Any):
        self.machines: dict[str, Machine] = {}
        super().__init__(*args, **kwargs)

    def machine(self, instance: direct_world.Instance) -> Machine:
        """Returns the machine of an instance."""
        return self.machines.setdefault(instance.name, Machine())

    def perform(self, instance: direct_world.Instance, effect: Any) -> None:
        """Performs an effect, in the time that the machine takes for it."""
        if isinstance(effect, effects.SendToPeer):
            self._send_message(instance, effect)
            return
        if isinstance(effect, effects.KeepLease):
            self._renew_lease(instance, effect)
            return
        super().perform(instance, effect)

    def _send_message(
        self, instance: direct_world.Instance, effect: effects.SendToPeer
    ) -> None:
        """Carries a message over both links to the peer's processor."""
        message = effect.message
        size = len(messages.CODEC.encode(message)) + OVERHEAD_BYTES
        lines = getattr(message, "reports", getattr(message, "grants", ()))
        work_s = MESSAGE_S + REPORT_S * len(lines)
        sender = self.machine(instance)
        sender.busy_until = max(self.now, sender.busy_until) + work_s / 2
        left_at = sender.send(self.now, size)

        def arrive() -> None:
            peer = self.instances.get(effect.instance)
            if peer is None or peer.is_isolated or instance.is_isolated:
                return
            machine = self.machine(peer)
            handled_at = machine.receive(self.now, size, work_s)
            self.schedule(handled_at - self.now, lambda: deliver(peer))

        def deliver(peer: direct_world.Instance) -> None:
            self.machine(peer).received[type(message)] += 1
            peer.handle_event(
                events.PeerMessageReceived(self.now, instance.name, message)
            )

        self.schedule(left_at - self.now + direct_world.LINK_S, arrive)

    def _renew_lease(
        self, instance: direct_world.Instance, effect: effects.KeepLease
    ) -> None:
        """Makes the call to the store wait for the link and the processor."""
        sent_at = self.now
        machine = self.machine(instance)
        left_at = machine.send(self.now, STORE_CALL_BYTES)

        def renew() -> None:
            ttl_s: float | None = None
            if self.store.is_up and instance.has_store:
                ttl_s = 0.0
                if effect.lease in self.store.leases:
                    ttl_s = self.store.renew(effect.lease)
            handled_at = machine.receive(self.now, STORE_CALL_BYTES, MESSAGE_S)
            self.schedule(handled_at - self.now, lambda: deliver(ttl_s))

        def deliver(ttl_s: float | None) -> None:
            instance.handle_event(
                events.LeaseCallFinished(self.now, effect.lease, sent_at, ttl_s)
            )

        self.schedule(left_at - self.now + direct_world.STORE_S, renew)
