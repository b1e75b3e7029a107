"""Keeps an instance's quarantine consistent with those of its peers.

An instance sends new evidence to every peer at once. Datagrams can be lost, and instances restart
or are partitioned, so each heartbeat repeats some of the evidence to a few peers, and a new peer
gets all of it.
"""

import math
import random
from collections.abc import Iterable, Iterator, Mapping, Sequence

import eliot
import msgspec
import trio

from cleatlink.core.routes import RoutedEndpoint
from cleatlink.quarantine import (
    CRASHES_TO_QUARANTINE,
    NO_CRASHES,
    NO_PROMPT,
    CrashAttribution,
    CrashReport,
    PromptParts,
    Quarantine,
    QuarantineDecision,
    Suspect,
    Trial,
)
from cleatlink.relay.peers.messages import CrashItem, CrashUpdate
from cleatlink.relay.peers.update_channel import UpdateChannel
from cleatlink.relay.status import QuarantinedParts, QuarantinedRequest

__all__ = ["SharedQuarantine"]

# One crash breaks its connections within milliseconds; this delay combines them in one message.
_GATHER_S = 0.005
# Size of the crashes in one datagram from which on the next ones go into another. A single crash of
# the longest prompts is larger, and still fits.
_MAX_MESSAGE_BYTES = 40_000
# Number of crashes that a heartbeat repeats: the newest, which a peer may have missed, and some
# others chosen at random.
_MAX_NEWEST_REPEATED = 4
_MAX_OTHERS_REPEATED = 4
# Instances start the trial of parts of prompts at different moments within this time, in seconds,
# so that one of them is the first and the others know it.
_TRIAL_SPREAD_S = 5.0


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
        self._quarantine = Quarantine(_TRIAL_SPREAD_S * rng.random())
        self._changed_incarnations: set[str] = set()
        # What this instance cleared and has not reported yet, by crashed incarnation.
        self._new_clearances: dict[str, set[bytes]] = {}
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

    def quarantined_parts(self) -> list[QuarantinedParts]:
        """Return the parts of prompts that are in quarantine now, with the evidence."""
        now = trio.current_time()
        quarantined = []
        for attribution in self._quarantine.evidence.part_attributions():
            decision = self._quarantine.decide_by_parts(attribution, now)
            if decision.is_quarantined:
                quarantined.append(
                    QuarantinedParts(
                        parts=sorted(part.hex() for part in attribution.parts),
                        endpoints=list(attribution.crashes.incarnations),
                        last_ago_s=round(now - attribution.crashes.last_crash_at, 1),
                        for_s=round(decision.retry_after_s, 1),
                    )
                )
        return quarantined

    def decide(self, identity: bytes, prompt: PromptParts = NO_PROMPT) -> QuarantineDecision:
        """Decide whether a request may run.

        Args:
            identity: Identity of the request.
            prompt: The parts of its prompt.
        """
        return self._quarantine.decide(identity, trio.current_time(), prompt)

    def record_crash(self, endpoint: RoutedEndpoint, requests: Sequence[Suspect]) -> None:
        """Record the crash of an endpoint with requests of this instance in progress.

        Args:
            endpoint: The crashed endpoint.
            requests: The requests.
        """
        suspects = {request.identity: request.in_progress_s for request in requests}
        prompts = {
            request.identity: request.prompt for request in requests if request.prompt != NO_PROMPT
        }
        if self._add_reports([CrashReport(endpoint.name, 0.0, suspects, prompts=prompts)]):
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

    def record_answering(
        self, identity: bytes, prompt: PromptParts, started_at: float, answered_s: float = math.inf
    ) -> None:
        """Record that an answer goes on, which clears its request and prompt of earlier crashes.

        Args:
            identity: Identity of the request.
            prompt: The parts of its prompt.
            started_at: When it was sent to its endpoint.
            answered_s: Seconds for which the answer has been going on; infinite if it completed.
        """
        cleared = self._quarantine.evidence.clear_answered(identity, prompt, started_at, answered_s)
        if not cleared:
            return
        eliot.log_message(
            message_type="quarantine: answer goes on; clearing its prompt of earlier crashes",
            asks=identity.hex(),
            cleared=sorted({item.hex() for items in cleared.values() for item in items}),
            service=prompt.service.hex(),
            crashes=len(cleared),
            answered_s=None if answered_s == math.inf else round(answered_s, 3),
        )
        for incarnation, items in cleared.items():
            self._new_clearances.setdefault(incarnation, set()).update(items)
        self._has_changes.set()

    def begin_trial(self, identity: bytes) -> None:
        """Record the start of the single trial of a request whose quarantine is over.

        Args:
            identity: Identity of the request, or key of the parts of its prompt.
        """
        self._quarantine.begin_trial(identity, trio.current_time())
        eliot.log_message(
            message_type="quarantine: starting the trial of a request", asks=identity.hex()
        )
        self._queue_update()

    def _add_reports(self, reports: Iterable[CrashReport]) -> bool:
        """Add crash reports to the evidence; return whether they contained anything new."""
        now = trio.current_time()
        requests_before = self._quarantine.evidence.attributions()
        parts_before = self._blamed_parts()
        is_new = False
        for report in reports:
            is_new |= self._quarantine.add_report(report, now)
        if is_new:
            self._log_blamed_requests(requests_before, now)
            self._log_blamed_parts(parts_before, now)
        return is_new

    def _log_blamed_requests(self, known: Mapping[bytes, CrashAttribution], now: float) -> None:
        """Log the requests that are in quarantine, or longer than before, from now on."""
        for identity, attribution in self._quarantine.evidence.attributions().items():
            crashes = attribution.independent_crashes
            known_crashes = known.get(identity, NO_CRASHES).independent_crashes
            if crashes < CRASHES_TO_QUARANTINE or crashes <= known_crashes:
                continue
            eliot.log_message(
                message_type="quarantine: request held back after repeated crashes",
                asks=identity.hex(),
                crashes=crashes,
                endpoints=attribution.incarnations,
                for_s=round(self._quarantine.decide(identity, now).retry_after_s, 1),
            )

    def _blamed_parts(self) -> set[frozenset[bytes]]:
        """Return the sets of parts to which enough crashes are attributed."""
        return {
            attribution.parts
            for attribution in self._quarantine.evidence.part_attributions()
            if attribution.crashes.independent_crashes >= CRASHES_TO_QUARANTINE
        }

    def _log_blamed_parts(self, known: set[frozenset[bytes]], now: float) -> None:
        """Log the parts that are in quarantine from now on."""
        for attribution in self._quarantine.evidence.part_attributions():
            crashes = attribution.crashes
            if crashes.independent_crashes < CRASHES_TO_QUARANTINE or attribution.parts in known:
                continue
            eliot.log_message(
                message_type="quarantine: prompts with these parts are held back after crashes",
                parts=sorted(part.hex() for part in attribution.parts),
                crashes=crashes.independent_crashes,
                endpoints=crashes.incarnations,
                organisations=len(attribution.organisations),
                for_s=round(self._quarantine.decide_by_parts(attribution, now).retry_after_s, 1),
            )

    def _queue_update(self, *incarnations: str) -> None:
        self._changed_incarnations.update(incarnations)
        self._has_changes.set()

    async def next_messages(self) -> list[CrashUpdate]:
        """Wait for new evidence and return the messages for all peers."""
        await self._has_changes.wait()
        await trio.sleep(_GATHER_S)
        self._has_changes = trio.Event()
        changed, self._changed_incarnations = self._changed_incarnations, set()
        clearances, self._new_clearances = self._new_clearances, {}
        now = trio.current_time()
        reports = [self._quarantine.evidence.crash_report(item, now) for item in sorted(changed)]
        reports += [
            self._quarantine.evidence.clearance_report(incarnation, parts, now)
            for incarnation, parts in sorted(clearances.items())
            if incarnation not in changed and parts
        ]
        return self._messages_with(reports)

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
        return self._messages_with(
            [self._quarantine.evidence.crash_report(item, now) for item in incarnations]
        )

    def _messages_with(self, reports: list[CrashReport | None]) -> list[CrashUpdate]:
        now = trio.current_time()
        items = [CrashItem.from_report(report) for report in reports if report is not None]
        trials = [(trial.identity, trial.age_s) for trial in self._quarantine.active_trials(now)]
        parts = list(_split(items)) or ([[]] if trials else [])
        return [CrashUpdate(self._name, part, trials) for part in parts]

    def record_update(self, update: CrashUpdate) -> None:
        """Add the evidence and the trials that a peer reported."""
        for item in update.crashes:
            # A peer has told everyone already.
            self._new_clearances.get(item.endpoint_incarnation, set()).difference_update(
                item.cleared
            )
        self._add_reports(item.to_report() for item in update.crashes)
        trials = (Trial(identity, age_s) for identity, age_s in update.trials)
        self._quarantine.add_peer_trials(trials, trio.current_time())

    def remove_expired(self) -> None:
        """Forget expired evidence and trials."""
        self._quarantine.remove_expired(trio.current_time())


def _split(items: list[CrashItem]) -> Iterator[list[CrashItem]]:
    """Split crashes into parts that fit into one datagram each."""
    part: list[CrashItem] = []
    part_bytes = 0
    for item in items:
        item_bytes = len(msgspec.msgpack.encode(item))
        if part and part_bytes + item_bytes > _MAX_MESSAGE_BYTES:
            yield part
            part, part_bytes = [], 0
        part.append(item)
        part_bytes += item_bytes
    if part:
        yield part
