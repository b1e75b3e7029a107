"""Keeps an instance's quarantine consistent with those of its peers.

An instance sends new evidence to every peer at once. Datagrams can be lost, and instances restart
or are partitioned, so each heartbeat repeats some of the evidence to a few peers, and a new peer
gets all of it.
"""

import random
from collections.abc import Iterator, Sequence

import eliot
import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.quarantine import (
    CRASHES_TO_QUARANTINE,
    CrashReport,
    Quarantine,
    QuarantineDecision,
    Suspect,
    Trial,
)
from cleatlink.relay.peers.messages import CrashItem, CrashUpdate
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.relay.status import QuarantinedRequest

__all__ = ["SharedQuarantine"]

# One crash breaks its connections within milliseconds; this delay combines them in one message.
_GATHER_S = 0.005
# Maximum number of crashes in one datagram; it fits with 128 requests for each crash.
_MAX_CRASHES_PER_MESSAGE = 16
# Number of crashes that a heartbeat repeats: the newest, which a peer may have missed, and some
# others chosen at random.
_MAX_NEWEST_REPEATED = 4
_MAX_OTHERS_REPEATED = 4


class SharedQuarantine(UpdateChannel):
    """The quarantine of this instance, shared with its peers."""

    def __init__(self, name: str, rng: random.Random) -> None:
        """Initialise the quarantine without evidence.

        Args:
            name: This instance's name.
            rng: Chooses the older crashes that heartbeats repeat.
        """
        self._name = name
        self._rng = rng
        self._quarantine = Quarantine()
        self._changed_incarnations: set[str] = set()
        self._has_changes = trio.Event()

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence against any request."""
        return self._quarantine.is_empty

    @property
    def quarantined_count(self) -> int:
        """Number of requests that are in quarantine now."""
        return len(self.quarantined_requests())

    def quarantined_requests(self) -> list[QuarantinedRequest]:
        """Return the requests that are in quarantine now, with the evidence against them."""
        now = trio.current_time()
        quarantined = []
        for identity, attribution in self._quarantine.evidence.attributions().items():
            decision = self._quarantine.decide(identity, now)
            if decision.is_quarantined:
                quarantined.append(
                    QuarantinedRequest(
                        asks=identity.hex(),
                        endpoints=list(attribution.incarnations),
                        last_ago_s=round(now - attribution.last_crash_at, 1),
                        for_s=round(decision.retry_after_s, 1),
                    )
                )
        return quarantined

    def decide(self, identity: bytes) -> QuarantineDecision:
        """Decide whether a request may run."""
        return self._quarantine.decide(identity, trio.current_time())

    def record_crash(self, endpoint: RoutedEndpoint, requests: Sequence[Suspect]) -> None:
        """Record the crash of an endpoint with requests of this instance in progress.

        Args:
            endpoint: The crashed endpoint.
            requests: The requests.
        """
        suspects = {request.identity: request.in_progress_s for request in requests}
        if self._add_report(CrashReport(endpoint.name, 0.0, suspects)):
            self._queue_update(endpoint.name)

    def record_completed(self, identity: bytes) -> None:
        """Record that a request completed, which clears it of the crashes so far."""
        if not self._quarantine.evidence.suspicion(identity):
            return
        incarnations = self._quarantine.evidence.clear_request(identity)
        eliot.log_message(
            message_type="quarantine: request completed; clearing it of earlier crashes",
            asks=identity.hex(),
            crashes=len(incarnations),
        )
        self._queue_update(*incarnations)

    def begin_trial(self, identity: bytes) -> None:
        """Record the start of the single trial of a request whose quarantine is over."""
        self._quarantine.begin_trial(identity, trio.current_time())
        eliot.log_message(
            message_type="quarantine: starting the trial of a request", asks=identity.hex()
        )
        self._queue_update()

    def _add_report(self, report: CrashReport) -> bool:
        """Add a crash report to the evidence; return whether it contained anything new."""
        now = trio.current_time()
        before = self._quarantine.evidence.attributions()
        if not self._quarantine.add_report(report, now):
            return False
        for identity, attribution in self._quarantine.evidence.attributions().items():
            known = before.get(identity)
            is_new = known is None or known.independent_crashes < attribution.independent_crashes
            if is_new and attribution.independent_crashes >= CRASHES_TO_QUARANTINE:
                eliot.log_message(
                    message_type="quarantine: request held back after repeated crashes",
                    asks=identity.hex(),
                    crashes=attribution.independent_crashes,
                    endpoints=attribution.incarnations,
                    for_s=round(self._quarantine.decide(identity, now).retry_after_s, 1),
                )
        return True

    def _queue_update(self, *incarnations: str) -> None:
        self._changed_incarnations.update(incarnations)
        self._has_changes.set()

    async def next_messages(self) -> list[CrashUpdate]:
        """Wait for new evidence and return the messages for all peers."""
        await self._has_changes.wait()
        await trio.sleep(_GATHER_S)
        self._has_changes = trio.Event()
        changed, self._changed_incarnations = self._changed_incarnations, set()
        return self._messages(sorted(changed))

    def repeated_messages(self) -> list[CrashUpdate]:
        """Return the evidence that a heartbeat repeats to a few peers."""
        incarnations = self._quarantine.evidence.crashed_incarnations()
        newest, others = incarnations[:_MAX_NEWEST_REPEATED], incarnations[_MAX_NEWEST_REPEATED:]
        chosen = self._rng.sample(others, min(_MAX_OTHERS_REPEATED, len(others)))
        return self._messages(newest + chosen) if incarnations else []

    def initial_messages(self) -> list[CrashUpdate]:
        """Return all evidence, for a new peer."""
        return (
            []
            if self.is_empty
            else self._messages(self._quarantine.evidence.crashed_incarnations())
        )

    def _messages(self, incarnations: list[str]) -> list[CrashUpdate]:
        now = trio.current_time()
        reports = [
            self._quarantine.evidence.crash_report(incarnation, now) for incarnation in incarnations
        ]
        items = [CrashItem.from_report(report) for report in reports if report is not None]
        trials = [(trial.identity, trial.age_s) for trial in self._quarantine.active_trials(now)]
        parts = list(_split(items)) or ([[]] if trials else [])
        return [CrashUpdate(self._name, part, trials) for part in parts]

    def record_update(self, update: CrashUpdate) -> None:
        """Add the evidence and the trials that a peer reported."""
        for item in update.crashes:
            self._add_report(item.to_report())
        trials = (Trial(identity, age_s) for identity, age_s in update.trials)
        self._quarantine.add_peer_trials(trials, trio.current_time())

    def remove_expired(self) -> None:
        """Forget expired evidence and trials."""
        self._quarantine.remove_expired(trio.current_time())


def _split(items: list[CrashItem]) -> Iterator[list[CrashItem]]:
    """Split crashes into parts that fit into one datagram each."""
    for first in range(0, len(items), _MAX_CRASHES_PER_MESSAGE):
        yield items[first : first + _MAX_CRASHES_PER_MESSAGE]
