"""The state that an instance advertises to its peers."""

from typing import NamedTuple

from cleatlink.core.revisions import StoreRevision

__all__ = ["AdvertisedState"]


class AdvertisedState(NamedTuple):
    """The state that an instance advertises to its peers.

    Attributes:
        leaving: Whether the instance is stopping.
        table_revision: Revision of its route table.
        newest_revision: Revision of the newest registration that it knows.
        is_service_reachable: Whether its last request to the configuration service was answered.
        tunnel_port: Port at which it connects to endpoints for peers; 0 if it does not.
        lost_services: Services to a large share of whose endpoints it has no path.
        is_cut_off: Whether one of these services has engines.
        knows_retry_usage: Whether it knows what its earlier processes used of the retry budgets.
    """

    leaving: bool
    table_revision: int
    newest_revision: StoreRevision
    is_service_reachable: bool = False
    tunnel_port: int = 0
    lost_services: tuple[str, ...] = ()
    is_cut_off: bool = False
    knows_retry_usage: bool = False
