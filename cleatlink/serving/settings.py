"""Settings of one entry instance and their validation."""

from typing import NamedTuple

from cleatlink.core.address import Address, parse_address

__all__ = ["Address", "Settings", "check_settings", "parse_address"]

_DURATION_FIELDS = (
    "poll_s",
    "connect_timeout_s",
    "prefill_timeout_s",
    "stall_timeout_s",
    "caller_timeout_s",
)


class Settings(NamedTuple):
    """Settings that an entry instance receives from flags and environment variables.

    Attributes:
        name: Name of this instance in the instance list.
        data_centre: Data centre of this instance.
        listen: Address at which it listens for callers.
        peer_listen: Address at which it listens for other instances, on TCP and UDP.
        platform: Address of the platform's service; None to run without the platform.
        peers: Addresses of peers, used in addition to those in the instance list.
        seed: Seed of the generator for random choices.
        incarnation: Number that increases with each start of this instance.
        poll_s: Interval between requests for the load report of an endpoint, in seconds.
        connect_timeout_s: Timeout for a connection to an endpoint, in seconds.
        prefill_timeout_s: Timeout for a prefill, in seconds.
        stall_timeout_s: Seconds without a token after which a stream counts as broken.
        caller_timeout_s: Seconds after which a caller that reads no byte of its answer
            counts as disconnected.
    """

    name: str
    data_centre: str
    listen: Address
    peer_listen: Address
    platform: Address | None
    peers: tuple[Address, ...] = ()
    seed: int = 0
    incarnation: int = 1
    poll_s: float = 1.0
    connect_timeout_s: float = 1.0
    prefill_timeout_s: float = 30.0
    stall_timeout_s: float = 2.0
    caller_timeout_s: float = 10.0


def check_settings(settings: Settings) -> list[str]:
    """Return one error message for each invalid setting; an empty list if all are valid."""
    errors = []
    for field in ("name", "data_centre"):
        value = getattr(settings, field)
        if not value or not value.replace("-", "").replace("_", "").isalnum():
            errors.append(
                f"{field} must not be empty and may contain only letters, digits, '-' and '_'"
            )
    for field in _DURATION_FIELDS:
        if not 0.01 <= getattr(settings, field) <= 600:
            errors.append(f"{field} must be from 0.01 to 600 seconds")
    if settings.platform is None and not settings.peers:
        errors.append("either a platform or a peer must be given")
    return errors
