"""The settings file of an instance that runs as a process against a small fleet."""

from pathlib import Path
from typing import NamedTuple

from standins.relay.fleet import Fleet, free_address

__all__ = ["Ports", "write_instance_settings", "write_settings"]

_TEXT = """
node = "{name}"
zone = "{zone}"
ip = "{ip}"
internal_ports = [{peers}]
seeds = [{seeds}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
grace_s = 5
drain_ms = 2000
retry_budget_ratio = 0.2
retry_allowance = {retry_allowance}
budget_window_s = 10
quota_window_s = 8
quota_overshoot = 0.25
quota_slack = 12
lease_ms = 3000
[platform]
address = "{store}"
history_s = 20
"""


class Ports(NamedTuple):
    """Ports of one instance on loopback."""

    front: int
    ready: int
    peers: int
    metrics: int


def write_settings(file: Path, fleet: Fleet) -> Ports:
    """Write a settings file with free ports, and give them."""
    ports = Ports(*(free_address().port for _ in Ports._fields))
    write_instance_settings(file, ports, fleet.store.address)
    return ports


def write_instance_settings(
    file: Path,
    ports: Ports,
    store: str,
    *,
    name: str = "n1",
    zone: str = "a",
    ip: str = "127.0.0.1",
    seeds: tuple[str, ...] = (),
    retry_allowance: int = 50,
) -> None:
    """Write the settings of one instance among several, each at an IP number of its own.

    Args:
        file: Where to write.
        ports: Its ports; those among instances are alike for all.
        store: Address of the store, as this instance reaches it.
        name: Name of the instance.
        zone: Its data centre.
        ip: Its IP number.
        seeds: IP numbers of the instances that it asks first.
        retry_allowance: Extra sends that all instances may make beyond their share.
    """
    quoted = ",".join(f'"{seed}:{ports.peers}"' for seed in seeds)
    fields = {"name": name, "zone": zone, "ip": ip, "seeds": quoted, "store": store}
    fields["retry_allowance"] = str(retry_allowance)
    file.write_text(_TEXT.format(**ports._asdict(), **fields))
