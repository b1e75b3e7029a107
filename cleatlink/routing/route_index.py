"""Finds the route of a call by its host and the longest matching path prefix."""

from cleatlink.core.routes import Route, RouteTable

__all__ = ["RouteIndex", "choose_service"]


class RouteIndex:
    """The routes of one table, indexed by host and path prefix."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path, or None."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(route: Route, random_value: float) -> str | None:
    """Choose a service of a route at random by weight.

    Args:
        route: The route.
        random_value: A random number from 0 to below 1.

    Returns:
        A service, or None if no service has a weight above 0.
    """
    total = sum(share.weight for share in route.shares)
    point = random_value * total
    for share in route.shares:
        if point < share.weight:
            return share.service
        point -= share.weight
    return None
