"""Keeps an instance's quarantine alike with its peers'.

What an instance finds out goes to every peer at once. Datagrams can be lost, and instances
start anew or are cut off: so each heartbeat repeats some of it to a few peers, and a peer
that is new is told everything.
"""

import random
from collections.abc import Iterator, Mapping

import eliot
import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.quarantine import CRASHES_TO_HOLD, CrashReport, Quarantine, Trial, Verdict
from cleatlink.relay.peers.messages import CrashItem, CrashNews
from cleatlink.relay.peers.news import NewsChannel
from cleatlink.relay.status import HeldRequest

__all__ = ["SharedQuarantine"]

# Connections that one crash ends break within milliseconds; they are told of together.
_GATHER_S = 0.005
# Crashes in one datagram: 128 requests each still fit.
_CRASHES_A_MESSAGE = 16
# Crashes that a heartbeat repeats: the newest, which a loss could have kept from somebody,
# and some others in turn.
_NEWEST = 4
_OTHERS = 4


class SharedQuarantine(NewsChannel):
    """The quarantine of this instance, and what it tells of it."""

    def __init__(self, name: str, rng: random.Random) -> None:
        """Start without evidence.

        Args:
            name: This instance's name.
            rng: Chooses what heartbeats repeat.
        """
        self._name = name
        self._rng = rng
        self._quarantine = Quarantine()
        self._changed: set[str] = set()
        self._wake = trio.Event()

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence against any request."""
        return self._quarantine.is_empty

    @property
    def held(self) -> int:
        """Requests that are held back now."""
        return len(self.held_requests())

    def held_requests(self) -> list[HeldRequest]:
        """Give the requests that are held back now, and on what evidence."""
        now = trio.current_time()
        held = []
        for identity, blame in self._quarantine.evidence.blames().items():
            verdict = self._quarantine.judge(identity, now)
            if verdict.is_held:
                held.append(
                    HeldRequest(
                        asks=identity.hex(),
                        endpoints=list(blame.lives),
                        last_ago_s=round(now - blame.last_at, 1),
                        for_s=round(verdict.retry_after_s, 1),
                    )
                )
        return held

    def judge(self, identity: bytes) -> Verdict:
        """Decide about a request."""
        return self._quarantine.judge(identity, trio.current_time())

    def note_crash(self, endpoint: RoutedEndpoint, suspects: Mapping[bytes, float]) -> None:
        """Note an endpoint that crashed with requests of this instance in progress.

        Args:
            endpoint: The endpoint.
            suspects: The requests' identities, with the seconds for which they had been.
        """
        if self._take(CrashReport(endpoint.name, 0.0, suspects)):
            self._tell(endpoint.name)

    def note_served(self, identity: bytes) -> None:
        """Note that a request ran to its end: it does not crash what runs it."""
        if not self._quarantine.evidence.suspicion(identity):
            return
        lives = self._quarantine.evidence.clear(identity)
        eliot.log_message(
            message_type="quarantine: clears a request", asks=identity.hex(), crashes=len(lives)
        )
        self._tell(*lives)

    def begin_trial(self, identity: bytes) -> None:
        """Make the one careful try of a request."""
        self._quarantine.begin_trial(identity, trio.current_time())
        eliot.log_message(message_type="quarantine: tries a request", asks=identity.hex())
        self._tell()

    def _take(self, report: CrashReport) -> bool:
        """Take a report in; tells whether it had anything new."""
        now = trio.current_time()
        before = self._quarantine.evidence.blames()
        if not self._quarantine.take_report(report, now):
            return False
        for identity, blame in self._quarantine.evidence.blames().items():
            known = before.get(identity)
            is_new = known is None or known.crashes < blame.crashes
            if is_new and blame.crashes >= CRASHES_TO_HOLD:
                eliot.log_message(
                    message_type="quarantine: holds a request back",
                    asks=identity.hex(),
                    crashes=blame.crashes,
                    endpoints=blame.lives,
                    for_s=round(self._quarantine.judge(identity, now).retry_after_s, 1),
                )
        return True

    def _tell(self, *lives: str) -> None:
        self._changed.update(lives)
        self._wake.set()

    async def next(self) -> list[CrashNews]:
        """Wait for something to tell every peer, and give it."""
        await self._wake.wait()
        await trio.sleep(_GATHER_S)
        self._wake = trio.Event()
        changed, self._changed = self._changed, set()
        return self._messages(sorted(changed))

    def repeat(self) -> list[CrashNews]:
        """Give what a heartbeat repeats to a few peers."""
        lives = self._quarantine.evidence.lives()
        newest, others = lives[:_NEWEST], lives[_NEWEST:]
        chosen = self._rng.sample(others, min(_OTHERS, len(others)))
        return self._messages(newest + chosen) if lives else []

    def introduction(self) -> list[CrashNews]:
        """Give everything, for a peer that is new."""
        return [] if self.is_empty else self._messages(self._quarantine.evidence.lives())

    def _messages(self, lives: list[str]) -> list[CrashNews]:
        now = trio.current_time()
        found = [self._quarantine.evidence.report(life, now) for life in lives]
        items = [CrashItem.of(report) for report in found if report is not None]
        trials = [(trial.identity, trial.age_s) for trial in self._quarantine.trials(now)]
        parts = list(_split(items)) or ([[]] if trials else [])
        return [CrashNews(self._name, part, trials) for part in parts]

    def take(self, news: CrashNews) -> None:
        """Take what a peer tells."""
        for item in news.crashes:
            self._take(item.report())
        trials = (Trial(identity, age_s) for identity, age_s in news.trials)
        self._quarantine.take_trials(trials, trio.current_time())

    def keep_house(self) -> None:
        """Forget what is long ago."""
        self._quarantine.forget(trio.current_time())


def _split(items: list[CrashItem]) -> Iterator[list[CrashItem]]:
    """Split into parts that fit a datagram."""
    for first in range(0, len(items), _CRASHES_A_MESSAGE):
        yield items[first : first + _CRASHES_A_MESSAGE]
