"""Which part of all instances is heard now."""

__all__ = ["Presence"]

# An instance that fell silent without a word is counted for so long, in seconds: a cut is
# mended or an instance replaced within minutes.
_REMEMBERED_S = 300.0


class Presence:
    """When each other instance was heard last."""

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}

    def note_heard(self, name: str, now: float) -> None:
        """Note that an instance was heard."""
        self._heard_at[name] = now

    def note_leaving(self, name: str) -> None:
        """Note that an instance stops, by its own word: it is not missed."""
        self._heard_at.pop(name, None)

    def heard_share(self, silence_s: float, now: float) -> float:
        """Give the share of the instances, this one included, that are heard.

        Args:
            silence_s: Who was silent for longer is not heard.
            now: The time.
        """
        for name, heard_at in list(self._heard_at.items()):
            if now - heard_at > _REMEMBERED_S:
                del self._heard_at[name]
        heard = sum(now - heard_at <= silence_s for heard_at in self._heard_at.values())
        return (1 + heard) / (1 + len(self._heard_at))
