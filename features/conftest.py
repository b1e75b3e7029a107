"""Steps that all scenarios share: the ``Given`` steps and the ``Then`` steps."""

import pytest
import trio
from pytest_bdd import given, parsers, then

from features.scenario_run import ScenarioRun
from standins.world import World, expected_text, wait_for_tokens


@pytest.fixture
def run() -> ScenarioRun:
    return ScenarioRun()


# Given steps.


@given(parsers.parse("entries {entries}"))
def _(run: ScenarioRun, entries: str) -> None:
    run.entries = [entry.replace(" in ", "/") for entry in entries.split(", ")]


@given(parsers.parse("every engine loses the next {count:d} cancellations"))
def _(run: ScenarioRun, count: int) -> None:
    def change(world: World) -> None:
        for engine in world.fleet.engines.values():
            engine.faults["lose_cancels"] = count

    run.world.preparations.append(change)


@given("in-flight notes to peers are lost for one second")
def _(run: ScenarioRun) -> None:
    async def recover(world: World) -> None:
        await trio.sleep(1.0)
        world.network.lost_message_kinds.clear()

    def change(world: World) -> None:
        world.network.lost_message_kinds.add("note")
        world.nursery.start_soon(recover, world)

    run.world.preparations.append(change)


@given(parsers.parse("the decode engines have the fault {fault} at token {position:d}"))
def _(run: ScenarioRun, fault: str, position: int) -> None:
    def change(world: World) -> None:
        for name in ("d1", "d2"):
            world.fleet.engines[name].faults[fault] = position  # type: ignore[literal-required]

    run.world.preparations.append(change)


@given(parsers.parse("engine {name} has the fault {fault} at token {position:d}"))
def _(run: ScenarioRun, name: str, fault: str, position: int) -> None:
    def change(world: World) -> None:
        world.fleet.engines[name].faults[fault] = position  # type: ignore[literal-required]

    run.world.preparations.append(change)


@given(parsers.parse("engine {name} is unreachable until the caller has received {count:d} tokens"))
def _(run: ScenarioRun, name: str, count: int) -> None:
    async def recover(world: World) -> None:
        while not world.callers:
            await trio.sleep(0.001)
        await wait_for_tokens(world.callers[0], count)
        world.fleet.dead.discard(name)

    def change(world: World) -> None:
        world.fleet.dead.add(name)
        world.nursery.start_soon(recover, world)

    run.world.preparations.append(change)


@given(parsers.parse("engine {name} delays each prefill by {seconds:g} seconds"))
def _(run: ScenarioRun, name: str, seconds: float) -> None:
    def change(world: World) -> None:
        world.fleet.engines[name].faults["slow_prefill_s"] = seconds

    run.world.preparations.append(change)


@given(parsers.parse("the prefill timeout is {seconds:g} seconds"))
def _(run: ScenarioRun, seconds: float) -> None:
    run.world.settings["prefill_timeout_s"] = seconds


@given(parsers.parse("engines keep KV for {seconds:g} seconds"))
def _(run: ScenarioRun, seconds: float) -> None:
    run.world.engine_settings["kv_keep_s"] = seconds


@given(parsers.parse("each decode engine delays its next decode by {seconds:g} seconds"))
def _(run: ScenarioRun, seconds: float) -> None:
    def change(world: World) -> None:
        for name in ("d1", "d2"):
            world.fleet.engines[name].faults["slow_decode_s"] = seconds

    run.world.preparations.append(change)


@given(parsers.parse("the connection to each service fails {moment} sending"))
def _(run: ScenarioRun, moment: str) -> None:
    run.world.preparations.append(
        lambda world: world.fleet.call_failures.update(s1=moment, s2=moment)
    )


@given(parsers.parse("each service executes an order in {seconds:g} seconds"))
def _(run: ScenarioRun, seconds: float) -> None:
    def change(world: World) -> None:
        for service in world.fleet.services.values():
            service.delay_s = seconds

    run.world.preparations.append(change)


@given(parsers.parse("each service executes an order and answers with status {status:d}"))
def _(run: ScenarioRun, status: int) -> None:
    def change(world: World) -> None:
        for service in world.fleet.services.values():
            service.status = status

    run.world.preparations.append(change)


@given(parsers.parse("callers read each part of an answer after a delay of {seconds:g} seconds"))
def _(run: ScenarioRun, seconds: float) -> None:
    run.world.caller_receive_delay_s = seconds


@given("entry e1 receives requests continuously")
def _(run: ScenarioRun) -> None:
    async def send_continuously(world: World) -> None:
        while True:
            world.start_model_request("e1", 5)
            await trio.sleep(0.05)

    run.world.preparations.append(lambda world: world.nursery.start_soon(send_continuously, world))


# Then steps.


@then(parsers.parse("no engine holds memory after {seconds:g} seconds"))
def _(run: ScenarioRun, seconds: float) -> None:
    assert run.observed["held_s"] <= seconds


@then("the caller has received the complete answer exactly once")
def _(run: ScenarioRun) -> None:
    assert run.first_caller.end_mark_count, run.first_caller.body[-500:]
    assert run.first_caller.text == expected_text(run.tokens)
    assert run.first_caller.event_ids == list(range(run.tokens))
    assert run.first_caller.end_mark_count == 1


@then("the caller has received a part of the answer and the error stream_broken")
def _(run: ScenarioRun) -> None:
    assert b"stream_broken" in run.first_caller.body
    assert run.first_caller.end_mark_count == 0
    assert expected_text(run.tokens).startswith(run.first_caller.text)


@then(parsers.parse("the caller receives the execution status {ran}"))
def _(run: ScenarioRun, ran: str) -> None:
    assert run.first_caller.error["ran"] == ran
    assert run.first_caller.headers["x-ran"] == ran


@then(parsers.parse("the caller receives status {status:d} and the error {error_code}"))
def _(run: ScenarioRun, status: int, error_code: str) -> None:
    assert run.first_caller.status == status
    assert run.first_caller.error["code"] == error_code


@then(parsers.parse("the second caller receives status {status:d} and the error {error_code}"))
def _(run: ScenarioRun, status: int, error_code: str) -> None:
    assert run.second_caller.status == status
    assert run.second_caller.error["code"] == error_code


@then(parsers.parse("the second caller receives the execution status {ran}"))
def _(run: ScenarioRun, ran: str) -> None:
    assert run.first_caller.status == 200
    assert run.second_caller.error["ran"] == ran


@then(parsers.parse("the second caller is refused with {error_code}"))
def _(run: ScenarioRun, error_code: str) -> None:
    assert run.second_caller.error["code"] == error_code


@then(parsers.parse("the order ran at most {count:d} times"))
def _(run: ScenarioRun, count: int) -> None:
    assert run.world.executions().get(run.key, 0) <= count


@then("the order with the key ran exactly once")
def _(run: ScenarioRun) -> None:
    assert run.world.executions() == {run.key: 1}


@then("the order with the key ran at most once")
def _(run: ScenarioRun) -> None:
    assert run.world.executions().get(run.key, 0) <= 1
    assert len(run.world.callers) == 2


@then("every caller has received the same answer with status 200")
def _(run: ScenarioRun) -> None:
    assert {answer.status for answer in run.world.callers} == {200}
    assert len({answer.body for answer in run.world.callers}) == 1


@then("every caller that stayed connected has received an answer")
def _(run: ScenarioRun) -> None:
    connected = run.world.callers[int(bool(run.observed.get("disconnected_callers"))) :]
    assert connected
    assert {answer.status for answer in connected} == {200}


@then(parsers.parse("engine d1 receives no new orders after {seconds:g} seconds"))
def _(run: ScenarioRun, seconds: float) -> None:
    assert run.observed["early_orders"] > 0, "d1 received no orders at the start"
    assert run.observed["orders_to_d2"] > 100, "d2 received too few orders"
    assert run.observed["late_orders"] == 0


@then(parsers.parse("new requests are refused with {error_code}"))
def _(run: ScenarioRun, error_code: str) -> None:
    assert run.observed["error_code"] == error_code


@then("the planned stop has completed")
def _(run: ScenarioRun) -> None:
    assert run.observed["stopped"]


@then("the planned stop has completed only after the caller received the complete answer")
def _(run: ScenarioRun) -> None:
    assert run.first_caller.status == 200
    assert run.observed["stopped_at"] >= run.first_caller.response_ended_at


@then(parsers.parse("the new configuration is in force on all entries after {seconds:g} seconds"))
def _(run: ScenarioRun, seconds: float) -> None:
    assert set(run.observed["revisions"].values()) == {run.observed["expected_revision"]}


@then("no entry reverts to the old configuration")
def _(run: ScenarioRun) -> None:
    assert set(run.observed["revisions"].values()) == {2}


@then("the new configuration is in force on entry e3 when it is ready")
def _(run: ScenarioRun) -> None:
    assert run.observed["revisions"]["e3"] == 2
