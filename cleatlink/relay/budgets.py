"""The retry budgets of services, as the settings say."""

from cleatlink.relay.settings import RelaySettings
from cleatlink.request.shared_budget import SharedRetryBudget

__all__ = ["ServiceBudgets"]


class ServiceBudgets:
    """A retry budget for each service, made when it is asked for first."""

    def __init__(self, settings: RelaySettings) -> None:
        self._settings = settings
        self._budgets: dict[str, SharedRetryBudget] = {}

    def of(self, service: str) -> SharedRetryBudget:
        """Give the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = SharedRetryBudget(
                settings.retry_ratio, settings.retry_allowance, settings.retry_window_s
            )
            self._budgets[service] = budget
        return budget

    def change(self, settings: RelaySettings) -> None:
        """Use other settings, also for what has been spent."""
        self._settings = settings
        for budget in self._budgets.values():
            budget.change(settings.retry_ratio, settings.retry_allowance, settings.retry_window_s)
