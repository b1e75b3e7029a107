"""Retry budgets of services, configured by the settings."""

from collections.abc import Mapping

from cleatlink.relay.settings import RelaySettings
from cleatlink.request.shared_retry_budget import SharedRetryBudget

__all__ = ["ServiceBudgets"]


class ServiceBudgets:
    """Holds a retry budget for each service, created on first use."""

    def __init__(self, settings: RelaySettings, started_at: float) -> None:
        """Start without budgets.

        Args:
            settings: Settings of the instance.
            started_at: When the process started.
        """
        self._settings = settings
        self._started_at = started_at
        self._budgets: dict[str, SharedRetryBudget] = {}
        # What earlier processes used of the allowances, by service; None if unknown.
        self._inherited_use: dict[str, float] | None = None

    def get_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = SharedRetryBudget(
                settings.retry_ratio,
                settings.retry_allowance,
                settings.retry_window_s,
                self._started_at,
            )
            if self._inherited_use is not None:
                budget.inherit(self._inherited_use.get(service, 0.0))
            self._budgets[service] = budget
        return budget

    def apply_settings(self, settings: RelaySettings) -> None:
        """Apply new settings, also to existing budgets and to what they have counted."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.set_limits(
                settings.retry_ratio, settings.retry_allowance, settings.retry_window_s
            )

    def inherit(self, used_allowance: Mapping[str, float]) -> None:
        """Record what earlier processes of this instance used of the allowances, by service.

        Of several reports, the highest applies.
        """
        known = self._inherited_use or {}
        services = used_allowance.keys() | known.keys()
        self._inherited_use = {
            service: max(used_allowance.get(service, 0.0), known.get(service, 0.0))
            for service in services
        }
        for service, budget in self._budgets.items():
            budget.inherit(self._inherited_use.get(service, 0.0))

    def knows_usage(self, now: float) -> bool:
        """Check whether it is known what earlier processes used within the last window."""
        return self._inherited_use is not None or not self._is_recent(now)

    def usage(self, instance_count: int, now: float) -> dict[str, float]:
        """Return what this instance used of the allowances in the last window, by service.

        Args:
            instance_count: Number of instances that share the allowances, including this one.
            now: The current time.
        """
        used = {
            service: budget.used_allowance(instance_count, now)
            for service, budget in self._budgets.items()
        }
        if self._is_recent(now):
            # Services that this process has not used yet.
            used = {**(self._inherited_use or {}), **used}
        return {service: use for service, use in used.items() if use > 0}

    def _is_recent(self, now: float) -> bool:
        """Check whether the process started within the last window."""
        return now < self._started_at + self._settings.retry_window_s
