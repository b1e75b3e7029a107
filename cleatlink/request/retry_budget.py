"""A retry budget that limits retries to a share of the requests.

Each request adds a fraction of a retry to the balance and each retry subtracts one, so
that retries can't multiply the load in an overload in which most attempts fail.
"""

__all__ = ["RetryBudget"]

# Maximum balance: the number of retries available for a burst of failures.
_MAX_BALANCE = 10.0


class RetryBudget:
    """Counts the retries that are allowed."""

    def __init__(self, share: float, balance: float = _MAX_BALANCE) -> None:
        self._share = share
        self._balance = balance

    @property
    def balance(self) -> float:
        """Number of retries that are allowed now; may have a fraction."""
        return self._balance

    def set_share(self, share: float) -> None:
        """Set the share of requests, after a new configuration was adopted."""
        self._share = share

    def count_request(self) -> None:
        """Count a new request, which adds its share to the balance."""
        self._balance = min(_MAX_BALANCE, self._balance + self._share)

    def try_spend(self) -> bool:
        """Subtract one retry if the balance allows it; return whether it does."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
