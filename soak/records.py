"""What callers, workers and the soak itself saw: plain data for the checks."""

from typing import NamedTuple

__all__ = [
    "Arrival",
    "Caller",
    "CrashingRun",
    "History",
    "KeyChange",
    "LeavingWord",
    "LimitChange",
    "NamedLimit",
    "Order",
    "Request",
    "RequestKind",
    "Rest",
    "Spell",
    "Stop",
    "Switch",
    "Withdrawal",
    "WorkerRun",
]

from enum import StrEnum


class RequestKind(StrEnum):
    """How often a request may run; ``SWITCH`` is a safe one on the route that moves."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"
    SWITCH = "switch"


class Caller(NamedTuple):
    """Whose a request is, and its key; both are empty where there are no organisations."""

    organisation: str = ""
    key: str = ""


class KeyChange(NamedTuple):
    """A key that was taken away as of a time, and the one that was given instead."""

    old: str
    new: str
    at: float


class LimitChange(NamedTuple):
    """An organisation's limit, in requests a second and on top, as of a time."""

    organisation: str
    rate: float
    burst: float
    at: float


class Request(NamedTuple):
    """One request of a caller and what came of it.

    Attributes:
        name: Its id.
        kind: How often it may run.
        instance: Instance that it was sent to.
        life: Which life of that instance's process.
        sent_at: When its last byte was sent.
        ended_at: When its answer or its connection ended.
        status: Status of the answer; 0 for none.
        owner: Id that the answer carries.
        signed: Whether the answer carries a worker's signature.
        whole: Whether the answer ended properly.
        body: The answer's body.
        left: Whether the caller left before the answer.
        surplus: Bytes that followed the answer although nothing was asked.
        retry_after: What the answer says of when to come back; empty for nothing.
        caller: Whose it is.
    """

    name: str
    kind: RequestKind
    instance: int
    life: int
    sent_at: float
    ended_at: float
    status: int = 0
    owner: str = ""
    signed: bool = False
    whole: bool = False
    body: bytes = b""
    left: bool = False
    surplus: bytes = b""
    retry_after: str = ""
    caller: Caller = Caller()


class Arrival(NamedTuple):
    """A request as it reached a worker, run or not.

    Attributes:
        request: Its id.
        worker: The worker.
        service: The worker's service.
        at: When it arrived.
        prefill: Whether only its prompt is to be computed.
        organisation: Whose it is, as the worker was told; empty for nothing.
        key: The caller's key if that reached the worker too; empty for none.
    """

    request: str
    worker: str
    service: str
    at: float
    prefill: bool
    organisation: str = ""
    key: str = ""


class WorkerRun(NamedTuple):
    """A run of a request at a worker; ``ended_at`` is infinite while it goes on."""

    request: str
    worker: str
    service: str
    began_at: float
    ended_at: float
    dropped: bool


class CrashingRun(NamedTuple):
    """A run that crashed its worker, by what was asked."""

    body: str
    worker: str
    at: float


class Order(NamedTuple):
    """An order that a worker took."""

    worker: str
    holder: str
    fence: int
    at: float


class Withdrawal(NamedTuple):
    """A worker that said at a time that it is leaving."""

    worker: str
    at: float


class LeavingWord(NamedTuple):
    """A worker that says in its answers, from a time on, that it is leaving."""

    worker: str
    at: float


class Rest(NamedTuple):
    """A time in which a worker turned everything away and asked for a rest each time.

    Attributes:
        worker: The worker.
        began_at: When it began to turn work away.
        ended_at: When it took work again.
        rest_s: Seconds that it asked for with each refusal.
    """

    worker: str
    began_at: float
    ended_at: float
    rest_s: float


class NamedLimit(NamedTuple):
    """A time in which a worker named a limit over all instances in its answers.

    Attributes:
        worker: The worker.
        began_at: When it began to name it.
        ended_at: When it named it no longer.
        rate: Calls a second.
    """

    worker: str
    began_at: float
    ended_at: float
    rate: float


class Switch(NamedTuple):
    """The moving route went to a service, as of a time."""

    service: str
    at: float


class Stop(NamedTuple):
    """A planned stop of an instance's process.

    Attributes:
        instance: Number of the instance.
        life: Counts its processes.
        began_at: When it was asked to stop.
        ended_at: When it had ended, or was no longer waited for.
        code: Exit code of the process; -9 for one that had to be killed.
        is_earlier_build: Whether the process was of an earlier build.
    """

    instance: int
    life: int
    began_at: float
    ended_at: float
    code: int
    is_earlier_build: bool = False


class Spell(NamedTuple):
    """A time in which something was disturbed.

    Attributes:
        what: ``store``, ``instance N`` or the name of a worker.
        began_at: When it began.
        ended_at: When it was over.
    """

    what: str
    began_at: float
    ended_at: float


class History(NamedTuple):
    """All of a run.

    Attributes:
        requests: What callers saw.
        arrivals: What reached workers.
        runs: What workers ran.
        orders: What orders workers took.
        withdrawals: Workers that left as planned.
        switches: Where the moving route went, in order.
        stops: Planned stops.
        spells: Disturbances.
        exits: Processes that ended by themselves, as texts.
        unserved: Instances that serve nothing after all has healed.
        budget: Extra arrivals that any window may have, beyond its share of requests.
        ended_at: When the run was over.
        keys: Keys that were taken away, in order.
        limits: Limits, in order, the first ones among them.
        crashes: Runs that crashed their workers.
        words: Workers that said in answers that they leave.
        rests: Workers that asked for a rest.
        named_limits: Workers that named a limit over all instances.
        store_calls: Calls to the store of all instances.
        instances: How many instances there are.
        seconds: Length of the run.
    """

    requests: list[Request]
    arrivals: list[Arrival]
    runs: list[WorkerRun]
    orders: list[Order]
    withdrawals: list[Withdrawal]
    switches: list[Switch]
    stops: list[Stop]
    spells: list[Spell]
    exits: list[str]
    unserved: list[int]
    budget: float
    ended_at: float
    keys: tuple[KeyChange, ...] = ()
    limits: tuple[LimitChange, ...] = ()
    crashes: tuple[CrashingRun, ...] = ()
    words: tuple[LeavingWord, ...] = ()
    rests: tuple[Rest, ...] = ()
    named_limits: tuple[NamedLimit, ...] = ()
    store_calls: int = 0
    instances: int = 1
    seconds: float = 30.0

    def is_calm(self, what: str, since: float, until: float) -> bool:
        """Tell whether something was undisturbed throughout a time."""
        return not any(
            spell.what == what and spell.began_at < until and spell.ended_at > since
            for spell in self.spells
        )
