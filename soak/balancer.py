"""Chooses instances for new connections as the platform's balancer does."""

import random
from collections.abc import Sequence

import trio

from soak.processes import InstanceProcess
from standins.relay.raw_client import Caller

__all__ = ["Balancer"]

_CHECK_INTERVAL_S = 1.0
# Failed checks in a row after which an instance gets no new connections.
_MAX_MISSES = 2
# If a smaller share of the instances is in service, all get connections.
_MIN_SHARE_IN_SERVICE = 0.5


class Balancer:
    """Gives new connections to instances that are ready, and most of them to one while skewed."""

    def __init__(self, instances: Sequence[InstanceProcess], rng: random.Random) -> None:
        """Create a balancer whose instances are all in service.

        Args:
            instances: The instances; while skewed, the first one in service is preferred.
            rng: Chooses instances.
        """
        self._instances = list(instances)
        self._rng = rng
        self._misses = dict.fromkeys(self._instances, 0)
        # Share of the connections that the preferred instance gets; the others go to all alike.
        self.preferred_share = 0.0

    @property
    def in_service(self) -> list[InstanceProcess]:
        """The instances that get new connections."""
        passing = [item for item in self._instances if self._misses[item] < _MAX_MISSES]
        is_enough = len(passing) >= _MIN_SHARE_IN_SERVICE * len(self._instances)
        return passing if is_enough else self._instances

    def choose(self) -> InstanceProcess:
        """Return the instance for a caller's first connection."""
        instances = self.in_service
        if self._rng.random() < self.preferred_share:
            return instances[0]
        return self._rng.choice(instances)

    def choose_other(self, tried: InstanceProcess) -> InstanceProcess:
        """Return the instance for a caller's retry."""
        return self._rng.choice([item for item in self.in_service if item is not tried])

    async def run(self) -> None:
        """Check the readiness of all instances until cancelled."""
        async with trio.open_nursery() as nursery:
            for instance in self._instances:
                nursery.start_soon(self._check, instance)

    async def _check(self, instance: InstanceProcess) -> None:
        while True:
            is_ready = False
            with trio.move_on_after(_CHECK_INTERVAL_S):
                is_ready = await _is_ready(instance)
            self._misses[instance] = 0 if is_ready else self._misses[instance] + 1
            await trio.sleep(_CHECK_INTERVAL_S)


async def _is_ready(instance: InstanceProcess) -> bool:
    caller = Caller(f"{instance.ip}:{instance.ports.ready}")
    try:
        return (await caller.ask("/readiness")).status == 200
    except OSError:
        return False
    finally:
        caller.close()
