"""Retry budgets of services, configured by the settings."""

from cleatlink.relay.settings import RelaySettings
from cleatlink.request.shared_retry_budget import SharedRetryBudget

__all__ = ["ServiceBudgets"]


class ServiceBudgets:
    """Holds a retry budget for each service, created on first use."""

    def __init__(self, settings: RelaySettings) -> None:
        self._settings = settings
        self._budgets: dict[str, SharedRetryBudget] = {}

    def get_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = SharedRetryBudget(
                settings.retry_ratio, settings.retry_allowance, settings.retry_window_s
            )
            self._budgets[service] = budget
        return budget

    def apply_settings(self, settings: RelaySettings) -> None:
        """Apply new settings, also to existing budgets and to what they have counted."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.set_limits(
                settings.retry_ratio, settings.retry_allowance, settings.retry_window_s
            )
