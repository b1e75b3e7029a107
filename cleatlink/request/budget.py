"""A retry budget: retries may be only a share of live traffic.

Every request earns a share of a retry and every retry spends a whole one, so
that in overload, when most attempts fail, retries can't multiply the load.
"""

__all__ = ["RetryBudget"]

# Retries saved up for a burst of failures, at the most.
_CAP = 10.0


class RetryBudget:
    """Counts what may still be retried."""

    def __init__(self, share: float, balance: float = _CAP) -> None:
        self._share = share
        self._balance = balance

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def set_share(self, share: float) -> None:
        """Use the share of a newly adopted configuration."""
        self._share = share

    def earn(self) -> None:
        """Count one new request."""
        self._balance = min(_CAP, self._balance + self._share)

    def take(self) -> bool:
        """Spend one retry if the budget has it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
