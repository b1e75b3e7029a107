"""Messages between instances about the use of retry budgets."""

import msgspec

__all__ = ["PredecessorRetryUsage", "RetryUsageUpdate"]


class RetryUsageUpdate(msgspec.Struct, array_like=True, frozen=True, tag="u"):
    """What the sender used of the retry allowances within the last window.

    Attributes:
        name: Name of the sender.
        incarnation: Start number of the sender; it grows with each start.
        used_allowance: Extra sends that used the allowance, by service.
    """

    name: str
    incarnation: int
    used_allowance: dict[str, float]


class PredecessorRetryUsage(msgspec.Struct, array_like=True, frozen=True, tag="v"):
    """What the process used that the receiver replaced.

    Attributes:
        name: Name of the sender.
        receiver: Name of the instance that the message is for.
        incarnation: Start number of the receiver's process.
        used_allowance: Extra sends that used the allowance, by service.
        instance_count: Number of instances that the sender assumes.
    """

    name: str
    receiver: str
    incarnation: int
    used_allowance: dict[str, float]
    instance_count: int
