"""Writes settings files of instances that run as processes of their own."""

from pathlib import Path
from typing import NamedTuple

from standins.relay.fleet import Fleet, free_address

__all__ = ["Ports", "write_instance_settings", "write_settings"]

_TEMPLATE = """
node = "{name}"
zone = "{zone}"
ip = "{ip}"
bootstrap = {is_first_start}
internal_ports = [{peers}, {tunnels}]
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
    """Ports on which one instance listens."""

    front: int
    ready: int
    peers: int
    metrics: int
    tunnels: int


def write_settings(file: Path, fleet: Fleet) -> Ports:
    """Write a settings file with free ports; return the ports."""
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
    is_first_start: bool = True,
) -> None:
    """Write the settings of one of several instances, each of which has its own IP address.

    Args:
        file: Path of the settings file.
        ports: Ports of the instance; the peer port must be the same for all instances.
        store: Address at which this instance reaches the store.
        name: Name of the instance.
        zone: Data centre of the instance.
        ip: IP address of the instance.
        seeds: IP addresses of the instances that it contacts first.
        retry_allowance: Extra sends allowed in addition to the share of requests, over all
            instances.
        is_first_start: Whether no process of the fleet has run before.
    """
    quoted = ",".join(f'"{seed}:{ports.peers}"' for seed in seeds)
    fields = {"name": name, "zone": zone, "ip": ip, "seeds": quoted, "store": store}
    fields["retry_allowance"] = str(retry_allowance)
    fields["is_first_start"] = str(is_first_start).lower()
    file.write_text(_TEMPLATE.format(**ports._asdict(), **fields))
