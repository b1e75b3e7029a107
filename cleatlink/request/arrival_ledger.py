"""Counts the sends of one request that use up the retry budget of its service.

The first arrival of a request at an endpoint is free, and so is the first prefill that an endpoint
begins. The sender can't tell whether an endpoint that failed has begun a prefill, so every prefill
counts until its result has arrived.
"""

__all__ = ["ArrivalLedger"]


class ArrivalLedger:
    """The counted sends of one request, and the retries that were taken for them."""

    def __init__(self) -> None:
        self._counted = 0
        self._taken_retries = 0
        self._has_free_prefill = False

    @property
    def counted(self) -> int:
        """Number of sends that count as arrivals."""
        return self._counted

    @property
    def send_needs_retry(self) -> bool:
        """Whether a retry must be taken before the request is sent again."""
        return self._counted > self._taken_retries

    @property
    def prefill_needs_retry(self) -> bool:
        """Whether a retry must be taken before the prompt is sent to a prefill endpoint.

        A prefill that counts is paid for in advance: the decode that follows it would need a retry.
        """
        return self._counted + self._has_free_prefill > self._taken_retries

    def note_retry_taken(self) -> None:
        """Record that a retry was taken from the budget."""
        self._taken_retries += 1

    def note_sent(self) -> None:
        """Record that the request or its prompt is sent to an endpoint."""
        self._counted += 1

    def note_prefill_completed(self) -> None:
        """Record that a prefill ended; the first one does not count as an arrival."""
        if not self._has_free_prefill:
            self._has_free_prefill = True
            self._counted -= 1
