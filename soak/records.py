"""What callers, workers and the soak itself recorded during a run: plain data for the checks.

All times are seconds on the clock of trio.
"""

from typing import NamedTuple

from standins.relay.endless_answers import EndlessPart
from standins.relay.extra_arrivals import WorkerArrival

__all__ = [
    "Arrival",
    "CallerIdentity",
    "CrashingPart",
    "CrashingRun",
    "History",
    "KeyChange",
    "WorkerLeavingNotice",
    "LimitChange",
    "LostPaths",
    "AnnouncedWorkerLimit",
    "Order",
    "Request",
    "RequestKind",
    "RequestedBackoff",
    "Disturbance",
    "Downtime",
    "EndlessResponse",
    "SkewedConnections",
    "Stop",
    "RouteMove",
    "Withdrawal",
    "WorkerRun",
]

from enum import StrEnum


class RequestKind(StrEnum):
    """Kinds of requests, which differ in whether they may be repeated.

    ``SWITCH`` is a safe request on the route that moves from service to service.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"
    SWITCH = "switch"


class CallerIdentity(NamedTuple):
    """Organisation of a caller and its API key; both are empty in a run without organisations."""

    organisation: str = ""
    api_key: str = ""


class KeyChange(NamedTuple):
    """The replacement of an API key by a new one at a time; the old key is revoked."""

    old_key: str
    new_key: str
    at: float


class LimitChange(NamedTuple):
    """A change of an organisation's limit.

    Attributes:
        organisation: Name of the organisation.
        rate_per_s: New limit, in requests per second.
        burst: Requests allowed on top of that rate.
        at: When the limit changed.
    """

    organisation: str
    rate_per_s: float
    burst: float
    at: float


class Request(NamedTuple):
    """One request of a caller and its result.

    Attributes:
        request_id: ID of the request.
        kind: Its kind, which determines how often it may run.
        instance: Number of the instance that it was sent to.
        incarnation: Which process of that instance, counted from the first start.
        sent_at: When the caller had sent all of it.
        ended_at: When the answer or the connection ended.
        status: Status of the answer; 0 if there was none.
        answer_id: Request ID in the answer.
        is_signed: Whether the answer carries a worker's signature.
        is_complete: Whether the answer ended properly.
        body: Body of the answer.
        caller_left: Whether the caller disconnected before the answer.
        extra_bytes: Bytes that were received on the connection before this request was sent,
            after the previous answer.
        retry_after: Value of the answer's Retry-After header; empty if there was none.
        caller: Organisation and key of the caller.
        resumes: ID of the request that began the stream that this one takes up; empty if none.
        first_event: Number of the first event that the answer must have, if it is a stream.
        builds: Build of the worker that made each event of the answer, if it is a stream.
        signed_by: Name of the worker whose signature the answer carries; empty if it has none.
    """

    request_id: str
    kind: RequestKind
    instance: int
    incarnation: int
    sent_at: float
    ended_at: float
    status: int = 0
    answer_id: str = ""
    is_signed: bool = False
    is_complete: bool = False
    body: bytes = b""
    caller_left: bool = False
    extra_bytes: bytes = b""
    retry_after: str = ""
    caller: CallerIdentity = CallerIdentity()
    resumes: str = ""
    first_event: int = 1
    builds: tuple[str, ...] = ()
    signed_by: str = ""


class Arrival(NamedTuple):
    """A request as it reached a worker, whether the worker ran it or not.

    Attributes:
        request_id: ID of the request.
        worker: Name of the worker.
        service: Service of the worker.
        at: When it arrived.
        is_prefill: Whether the worker was asked for the prefill only.
        organisation: Organisation that the worker received with it; empty if none.
        authorization: Value of the Authorization header, which must not reach a worker; empty if
            there was none.
    """

    request_id: str
    worker: str
    service: str
    at: float
    is_prefill: bool
    organisation: str = ""
    authorization: str = ""


class WorkerRun(NamedTuple):
    """A run of a request on a worker.

    Attributes:
        request_id: ID of the request.
        worker: Name of the worker.
        service: Service of the worker.
        began_at: When the run began.
        ended_at: When it ended; infinite while it continues.
        is_cancelled: Whether the connection closed before the run ended.
        status: Status that the worker returned; None if it returned none.
    """

    request_id: str
    worker: str
    service: str
    began_at: float
    ended_at: float
    is_cancelled: bool
    status: int | None = None


class EndlessResponse(NamedTuple):
    """A response that a worker sent without end, until its connection broke.

    Attributes:
        request_id: ID of the request.
        worker: Name of the worker.
        part: The part of the response that had no end.
        began_at: When the worker began to send it.
        ended_at: When the connection broke; infinite if it was still open at the end.
        sent_bytes: Number of bytes that the worker could send.
    """

    request_id: str
    worker: str
    part: EndlessPart
    began_at: float
    ended_at: float
    sent_bytes: int


class CrashingRun(NamedTuple):
    """A run that crashed its worker.

    Attributes:
        body: Body of the request; empty if a part of its prompt caused the crash.
        worker: Name of the worker.
        at: When the run began.
        part: The part of the prompt that caused the crash; empty if the body did.
    """

    body: str
    worker: str
    at: float
    part: str = ""


class CrashingPart(NamedTuple):
    """A period in which prompts with a part that crashes workers were sent.

    Attributes:
        part: Name of the part.
        began_at: When the first of these requests was sent.
        ended_at: When the last of them had ended.
    """

    part: str
    began_at: float
    ended_at: float


class Downtime(NamedTuple):
    """A period without a ready process of an instance, because it was killed or stopped.

    Attributes:
        instance: Number of the instance.
        began_at: When its process had ended.
        ended_at: When the next process was ready.
    """

    instance: int
    began_at: float
    ended_at: float


class SkewedConnections(NamedTuple):
    """A period in which most new connections went to one instance.

    Attributes:
        instance: Number of the instance.
        began_at: When that began.
        ended_at: When it ended.
    """

    instance: int
    began_at: float
    ended_at: float


class Order(NamedTuple):
    """A role order that a worker accepted.

    Attributes:
        worker: Name of the worker.
        holder: Name of the instance that gave the order as the leader.
        fence: Fencing token of the order.
        at: When the worker accepted it.
    """

    worker: str
    holder: str
    fence: int
    at: float


class Withdrawal(NamedTuple):
    """A worker whose registration announces since a time that it is leaving."""

    worker: str
    at: float


class WorkerLeavingNotice(NamedTuple):
    """A worker that announces only in its answers, since a time, that it is leaving."""

    worker: str
    at: float


class RequestedBackoff(NamedTuple):
    """A period in which a worker rejected all work and requested a backoff each time.

    Attributes:
        worker: Name of the worker.
        began_at: When it began to reject work.
        ended_at: When it accepted work again.
        backoff_s: Backoff that it requested with each rejection, in seconds.
    """

    worker: str
    began_at: float
    ended_at: float
    backoff_s: float


class AnnouncedWorkerLimit(NamedTuple):
    """A period in which a worker's answers announced a rate limit over all instances.

    Attributes:
        worker: Name of the worker.
        began_at: When it began to announce the limit.
        ended_at: When it stopped announcing it.
        rate_per_s: The limit, in calls per second.
    """

    worker: str
    began_at: float
    ended_at: float
    rate_per_s: float


class RouteMove(NamedTuple):
    """A configuration that moved the ``/switch/`` route to a new service, at a time."""

    service: str
    at: float


class Stop(NamedTuple):
    """A planned stop of an instance's process.

    Attributes:
        instance: Number of the instance.
        incarnation: Which process of the instance, counted from the first start.
        began_at: When it was asked to stop.
        ended_at: When it had exited, or when the wait for that timed out.
        code: Exit code of the process; -9 if it had to be killed.
        is_earlier_build: Whether the process ran an earlier build.
    """

    instance: int
    incarnation: int
    began_at: float
    ended_at: float
    code: int
    is_earlier_build: bool = False


class LostPaths(NamedTuple):
    """A period in which an instance had no path to any worker, while others had theirs.

    Attributes:
        instance: Number of the instance.
        began_at: When the paths were cut.
        ended_at: When they were restored.
    """

    instance: int
    began_at: float
    ended_at: float


class Disturbance(NamedTuple):
    """A period in which a component was disturbed by a fault.

    Attributes:
        component: ``store``, ``instance N`` or the name of a worker.
        began_at: When the disturbance began.
        ended_at: When it ended.
    """

    component: str
    began_at: float
    ended_at: float


class History(NamedTuple):
    """Everything that was recorded during a run.

    Attributes:
        requests: Requests and their results, as callers saw them.
        arrivals: Requests that reached workers.
        runs: Runs of requests on workers.
        orders: Role orders that workers accepted.
        withdrawals: Workers whose registrations announced that they were leaving.
        route_moves: Changes of the service behind the ``/switch/`` route, in order.
        stops: Planned stops.
        disturbances: Disturbances.
        process_failures: Descriptions of unplanned exits of processes, and of starts that took too
            long.
        unserving_instances: Numbers of the instances that serve no requests after all faults have
            ended.
        extra_send_allowance: Extra sends allowed in any window, in addition to the share of
            requests.
        ended_at: When the run ended.
        key_changes: Changes of API keys, in order.
        limit_changes: Limits of organisations, in order, starting with the initial ones.
        crashes: Runs that crashed their workers.
        leaving_notices: Workers that announced in answers that they were leaving.
        backoffs: Periods in which workers requested backoffs.
        announced_limits: Periods in which workers announced rate limits over all instances.
        lost_paths: Periods in which instances had no path to any worker.
        downtimes: Periods without a ready process of an instance.
        crashing_parts: Periods in which prompts with a part that crashes workers were sent.
        skewed_connections: Periods in which most new connections went to one instance.
        endless_responses: Responses that workers sent without end.
        arrival_records: Arrivals at workers, to count them against the retry budgets.
        store_calls: Number of calls to the store, from all instances.
        instance_count: Number of instances.
        traffic_s: Duration of the traffic with faults, in seconds.
    """

    requests: list[Request]
    arrivals: list[Arrival]
    runs: list[WorkerRun]
    orders: list[Order]
    withdrawals: list[Withdrawal]
    route_moves: list[RouteMove]
    stops: list[Stop]
    disturbances: list[Disturbance]
    process_failures: list[str]
    unserving_instances: list[int]
    extra_send_allowance: float
    ended_at: float
    key_changes: tuple[KeyChange, ...] = ()
    limit_changes: tuple[LimitChange, ...] = ()
    crashes: tuple[CrashingRun, ...] = ()
    leaving_notices: tuple[WorkerLeavingNotice, ...] = ()
    backoffs: tuple[RequestedBackoff, ...] = ()
    announced_limits: tuple[AnnouncedWorkerLimit, ...] = ()
    lost_paths: tuple[LostPaths, ...] = ()
    downtimes: tuple[Downtime, ...] = ()
    crashing_parts: tuple[CrashingPart, ...] = ()
    skewed_connections: tuple[SkewedConnections, ...] = ()
    endless_responses: tuple[EndlessResponse, ...] = ()
    arrival_records: tuple[WorkerArrival, ...] = ()
    store_calls: int = 0
    instance_count: int = 1
    traffic_s: float = 30.0

    def is_undisturbed(self, component: str, since: float, until: float) -> bool:
        """Return whether no fault disturbed a component between two times."""
        return not any(
            disturbance.component == component
            and disturbance.began_at < until
            and disturbance.ended_at > since
            for disturbance in self.disturbances
        )
