"""Steps of the promises' scenarios; each ``when`` plays one story in virtual time."""

import math
from collections.abc import Awaitable, Callable

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from features.fakes import Caller
from features.world import CONFIGURATION, World, expected_text, wait_tokens

scenarios("memory.feature", "answers.feature", "calls.feature", "fleet.feature")

Story = Callable[[World], Awaitable[None]]


class Run:
    """The world of one scenario and what its story left to be checked."""

    def __init__(self) -> None:
        self.world = World()
        self.entries: list[str] = []
        self.tokens = 20
        self.key = ""
        self.checks: dict[str, object] = {}

    def play(self, story: Story) -> None:
        self.world.run(story, *self.entries)

    @property
    def first(self) -> Caller:
        return self.world.answers[0]

    @property
    def second(self) -> Caller:
        return self.world.answers[1]


@pytest.fixture
def run() -> Run:
    return Run()


async def reach_phase(world: World, caller: Caller, phase: str) -> None:
    """Wait until a request is in a phase, judged by the engines' own ledgers."""
    if phase == "streaming":
        await wait_tokens(caller, 5)
        return
    kind = {"prefilling": "prefill", "decoding": "decode"}[phase]
    while not any(
        key[2] == kind for engine in world.fleet.engines.values() for key in engine.memory
    ):
        await trio.sleep(0.0005)


# What is given.


@given(parsers.parse("entries {entries}"))
def _(run: Run, entries: str) -> None:
    run.entries = [entry.replace(" in ", "/") for entry in entries.split(", ")]


@given(parsers.parse("every engine loses the next {count:d} cancels"))
def _(run: Run, count: int) -> None:
    def change(world: World) -> None:
        for engine in world.fleet.engines.values():
            engine.faults["lose_cancels"] = count

    run.world.plan.append(change)


@given("notes to peers are lost for a second")
def _(run: Run) -> None:
    async def recover(world: World) -> None:
        await trio.sleep(1.0)
        world.network.lose_kinds.clear()

    def change(world: World) -> None:
        world.network.lose_kinds.add("note")
        world.nursery.start_soon(recover, world)

    run.world.plan.append(change)


@given(parsers.parse("the decode engines have the fault {fault} at token {at:d}"))
def _(run: Run, fault: str, at: int) -> None:
    def change(world: World) -> None:
        for name in ("d1", "d2"):
            world.fleet.engines[name].faults[fault] = at  # type: ignore[literal-required]

    run.world.plan.append(change)


@given(parsers.parse("engine {name} has the fault {fault} at token {at:d}"))
def _(run: Run, name: str, fault: str, at: int) -> None:
    def change(world: World) -> None:
        world.fleet.engines[name].faults[fault] = at  # type: ignore[literal-required]

    run.world.plan.append(change)


@given(parsers.parse("engine {name} is dead until the stream has {count:d} tokens"))
def _(run: Run, name: str, count: int) -> None:
    async def recover(world: World) -> None:
        while not world.answers:
            await trio.sleep(0.001)
        await wait_tokens(world.answers[0], count)
        world.fleet.dead.discard(name)

    def change(world: World) -> None:
        world.fleet.dead.add(name)
        world.nursery.start_soon(recover, world)

    run.world.plan.append(change)


@given(parsers.parse("engine {name} is slow to prefill by {seconds:g} seconds"))
def _(run: Run, name: str, seconds: float) -> None:
    def change(world: World) -> None:
        world.fleet.engines[name].faults["slow_prefill_s"] = seconds

    run.world.plan.append(change)


@given(parsers.parse("a prefill may take {seconds:g} seconds"))
def _(run: Run, seconds: float) -> None:
    run.world.settings["prefill_timeout_s"] = seconds


@given(parsers.parse("engines keep KV for {seconds:g} seconds"))
def _(run: Run, seconds: float) -> None:
    run.world.engine_settings["kv_keep_s"] = seconds


@given(parsers.parse("the decode engines hang for {seconds:g} seconds once"))
def _(run: Run, seconds: float) -> None:
    def change(world: World) -> None:
        for name in ("d1", "d2"):
            world.fleet.engines[name].faults["slow_decode_s"] = seconds

    run.world.plan.append(change)


@given(parsers.parse("the connection to the service is cut {moment} sending"))
def _(run: Run, moment: str) -> None:
    run.world.plan.append(lambda world: world.fleet.cut_calls.update(s1=moment, s2=moment))


@given(parsers.parse("an order takes {seconds:g} seconds"))
def _(run: Run, seconds: float) -> None:
    def change(world: World) -> None:
        for service in world.fleet.services.values():
            service.delay_s = seconds

    run.world.plan.append(change)


@given(parsers.parse("callers take {seconds:g} seconds for each part of an answer"))
def _(run: Run, seconds: float) -> None:
    run.world.callers_slow_s = seconds


@given("requests come all the time")
def _(run: Run) -> None:
    async def ask_always(world: World) -> None:
        while True:
            world.start_ask("e1", 5)
            await trio.sleep(0.05)

    run.world.plan.append(lambda world: world.nursery.start_soon(ask_always, world))


# What happens.


@when(parsers.parse("a caller goes away while its request is {phase}"))
def _(run: Run, phase: str) -> None:
    async def story(world: World) -> None:
        caller = world.start_ask("e1", 5000)
        await reach_phase(world, caller, phase)
        caller.go_away()
        await trio.sleep(0.01)
        await note_memory(run, world)

    run.play(story)


@when(parsers.parse("entry e1 dies while its request is {phase}"))
def _(run: Run, phase: str) -> None:
    async def story(world: World) -> None:
        caller = world.start_ask("e1", 5000)
        await reach_phase(world, caller, phase)
        if "e1/a" in run.entries and world.network.lose_kinds:
            await trio.sleep(2.5)
        world.kill("e1")
        await note_memory(run, world)

    run.play(story)


@when(parsers.parse("entry e1 is cut off from its peers while it streams {tokens:d} tokens"))
def _(run: Run, tokens: int) -> None:
    async def story(world: World) -> None:
        caller = world.start_ask("e1", tokens)
        await reach_phase(world, caller, "streaming")
        links = {name: item.link.address for name, item in world.entries.items()}
        world.network.cut([links["e1"]], [links["e2"], links["e3"]])
        await wait_tokens(caller, tokens + 1)

    run.tokens = tokens
    run.play(story)


@when(parsers.parse("a caller asks for {tokens:d} tokens"))
def _(run: Run, tokens: int) -> None:
    async def story(world: World) -> None:
        await wait_tokens(world.start_ask("e1", tokens), tokens + 1)
        await note_memory(run, world)

    run.tokens = tokens
    run.play(story)


@when(parsers.parse("engine {which} dies while a request for {tokens:d} tokens is {phase}"))
def _(run: Run, which: str, tokens: int, phase: str) -> None:
    async def story(world: World) -> None:
        caller = world.start_ask("e1", tokens)
        await reach_phase(world, caller, phase)
        placed = world.entries["e1"].entry.view.reservations
        role = "prefill" if which == "the prefill's" else "decode"
        name = next(item.endpoint for key, item in placed.items() if key.endswith(role))
        world.fleet.kill(name)
        await wait_tokens(caller, tokens + 1)
        await note_memory(run, world)

    run.tokens = tokens
    run.play(story)


@when(parsers.parse("all decode engines die while a request for {tokens:d} tokens is streaming"))
def _(run: Run, tokens: int) -> None:
    async def story(world: World) -> None:
        caller = world.start_ask("e1", tokens)
        await reach_phase(world, caller, "streaming")
        world.fleet.kill("d1")
        world.fleet.kill("d2")
        await wait_tokens(caller, tokens + 1)

    run.tokens = tokens
    run.play(story)


@when("an order is posted")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        run.key = world.make_key()
        await world.call("e1", run.key)

    run.play(story)


@when(parsers.parse("one key is posted through {names} at once"))
def _(run: Run, names: str) -> None:
    async def story(world: World) -> None:
        run.key = world.make_key()
        async with trio.open_nursery() as nursery:
            for name in names.split(", "):
                nursery.start_soon(world.call, name, run.key)

    run.play(story)


@when("one key is posted with two different bodies")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        run.key = world.make_key()
        await world.call("e1", run.key, b"one")
        await world.call("e2", run.key, b"two")

    run.play(story)


@when("a key is posted, its owner dies, and it is posted again")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        run.key = world.make_key("a")
        members = world.entries["e1"].entry.peers.members
        owner = members.owner(run.key, "a", trio.current_time())
        assert owner is not None
        others = [name for name in world.entries if name != owner.name]
        await world.call(others[0], run.key)
        world.kill(owner.name)
        del world.listed[owner.name]
        world.publish_fleet()
        await trio.sleep(20)
        await world.call(others[1], run.key)

    run.play(story)


@when("a key is posted, all entries are replaced, and it is posted again")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        run.key = world.make_key()
        await world.call("e1", run.key)
        for name in list(world.entries):
            world.kill(name)
            del world.listed[name]
        for name in ("e5", "e6"):
            await world.start_entry(name, "a")
        world.publish_fleet()
        await trio.sleep(20)
        await world.call("e5", run.key)

    run.play(story)


def cut_data_centres(world: World) -> None:
    links = {name: item.link.address for name, item in world.entries.items()}
    world.network.cut([links["e1"], links["e2"]], [links["e3"], links["e4"]])


@when("the data centres are cut from each other and one key is posted on both sides")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        cut_data_centres(world)
        await trio.sleep(20)
        run.key = world.make_key()
        await world.call("e1", run.key)
        await world.call("e3", run.key)

    run.play(story)


@when("e1 and e2 are cut from each other and one key is posted on both sides")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        links = {name: item.link.address for name, item in world.entries.items()}
        world.network.cut([links["e1"]], [links["e2"]])
        await trio.sleep(20)
        run.key = world.make_key("a")
        await world.call("e1", run.key)
        await world.call("e2", run.key)

    run.play(story)


@when("the data centres are cut from each other and a key of this home is posted")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        cut_data_centres(world)
        await trio.sleep(20)
        run.key = world.make_key("b")
        await world.call("e3", run.key)

    run.play(story)


@when("a key runs through e2 and is posted to e1, which is stopping")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        run.key = world.make_key()
        await world.call("e2", run.key)
        world.nursery.start_soon(world.entries["e1"].entry.stop)
        await trio.sleep(0.01)
        await world.call("e1", run.key)

    run.play(story)


@when("a key is posted, its caller goes away, and it is posted again")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        run.key = world.make_key()
        world.nursery.start_soon(world.call, "e1", run.key)
        await trio.sleep(0.5)
        world.answers[0].go_away()
        run.checks["gone"] = 1
        await world.call("e2", run.key)

    run.play(story)


@when(parsers.parse("engine d1 says that it is leaving by {word}"))
def _(run: Run, word: str) -> None:
    if word == "a peer's word":
        run.entries = ["e1/a", "e2/a"]

    def begin(world: World) -> None:
        engine = world.fleet.engines["d1"]
        if word == "the list":
            world.publish_fleet("d1")
            return
        engine.leaving = True
        if word == "its refusals":
            engine.faults["stale_report"] = True
        elif word == "a peer's word":
            # The entry that is asked sees only old reports; its peer sees the new ones.
            world.entries["e1"].client.stale_reports = True

    run.play(lambda world: count_late_work(run, world, begin, 4.0))


@when("the reports of d1 stop")
def _(run: Run) -> None:
    run.play(lambda world: count_late_work(run, world, lambda w: w.fleet.no_reports.add("d1"), 6.0))


async def count_late_work(
    run: Run, world: World, begin: Callable[[World], None], after_s: float
) -> None:
    await trio.sleep(2)
    run.checks["before"] = world.fleet.orders["d1"]
    begin(world)
    await trio.sleep(after_s)
    orders = world.fleet.orders["d1"]
    await trio.sleep(20)
    run.checks["late"] = world.fleet.orders["d1"] - orders
    run.checks["others"] = world.fleet.orders["d2"]


@when(parsers.parse("entry e1 is stopped while it streams {tokens:d} tokens"))
def _(run: Run, tokens: int) -> None:
    async def story(world: World) -> None:
        caller = world.start_ask("e1", tokens)
        await reach_phase(world, caller, "streaming")
        world.nursery.start_soon(stop_entry, run, world)
        await trio.sleep(0.5)
        refused = world.start_ask("e1", 5)
        await wait_tokens(caller, tokens + 1)
        await trio.sleep(1)
        run.checks["refused"] = refused.error["code"]

    run.tokens = tokens
    run.play(story)


@when("entry e1 is stopped while an order runs")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        run.key = world.make_key()
        world.nursery.start_soon(world.call, "e1", run.key)
        await trio.sleep(0.5)
        await stop_entry(run, world)
        await trio.sleep(0.5)

    run.play(story)


@when("entry e1 is stopped at the very end of an answer")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        caller = world.start_ask("e1", 3)
        while len(caller.ids) < 3:
            await trio.sleep(0.01)
        await stop_entry(run, world)

    run.play(story)


async def stop_entry(run: Run, world: World) -> None:
    await world.entries["e1"].entry.stop()
    run.checks["stopped"] = True
    run.checks["stopped_at"] = trio.current_time()
    world.kill("e1")


@when("e1 is cut off from the platform and a configuration is published")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        world.entries["e1"].platform.cut = True
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        note_revisions(run, world)

    run.play(story)


@when("a configuration is published and the platform goes stale")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        world.platform.set_faults(False, {"config"})
        await trio.sleep(60)
        note_revisions(run, world)

    run.play(story)


@when("a configuration is published, the platform goes stale, and e3 starts")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        world.platform.set_faults(False, {"config"})
        await world.start_entry("e3", "b")
        await world.wait_ready("e3")
        note_revisions(run, world)

    run.play(story)


@when("the platform is down for an hour and e3 starts")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        world.platform.set_faults(True, set())
        # A minute of the hour is played; nothing in it depends on its length.
        await trio.sleep(60)
        run.world.settings["peers"] = (world.entries["e1"].link.address,)
        await world.start_entry("e3", "b")
        await world.wait_ready("e3")
        note_revisions(run, world)

    run.play(story)


@when("an invalid configuration is published, then a valid one")
def _(run: Run) -> None:
    async def story(world: World) -> None:
        world.platform.publish("config", "version: 1\nnonsense: true\n")
        await trio.sleep(3)
        run.checks["meanwhile"] = revisions(world)
        world.platform.publish("config", CONFIGURATION + "# new\n")
        await trio.sleep(3)
        note_revisions(run, world)
        assert set(run.checks["meanwhile"].values()) == {1}

    run.play(story)


def revisions(world: World) -> dict[str, int]:
    return {name: item.entry.revision for name, item in world.entries.items()}


def note_revisions(run: Run, world: World) -> None:
    run.checks["revisions"] = revisions(world)
    run.checks["wanted"] = len(world.platform.published["config"])


async def note_memory(run: Run, world: World) -> None:
    """Note for how long memory stays held, and that some was held before."""
    started = trio.current_time()
    await world.wait_memory_free(60)
    held = any(world.fleet.memory().values())
    run.checks["held_s"] = math.inf if held else trio.current_time() - started


# What is checked.


@then(parsers.parse("no engine holds memory after {seconds:g} seconds"))
def _(run: Run, seconds: float) -> None:
    assert run.checks["held_s"] <= seconds


@then("the caller has the whole answer")
def _(run: Run) -> None:
    assert run.first.ended, run.first.body[-500:]
    assert run.first.text == expected_text(run.tokens)
    assert run.first.ids == list(range(run.tokens))
    assert run.first.ended == 1


@then("the caller is told that the answer broke off")
def _(run: Run) -> None:
    assert b"stream_broken" in run.first.body
    assert run.first.ended == 0
    assert expected_text(run.tokens).startswith(run.first.text)


@then(parsers.parse("the caller hears that it ran: {ran}"))
def _(run: Run, ran: str) -> None:
    assert run.first.error["ran"] == ran
    assert run.first.headers["x-ran"] == ran


@then(parsers.parse("the second caller hears that it ran: {ran}"))
def _(run: Run, ran: str) -> None:
    assert run.first.status == 200
    assert run.second.error["ran"] == ran


@then(parsers.parse("the second caller is refused with {kind}"))
def _(run: Run, kind: str) -> None:
    assert run.second.error["code"] == kind


@then(parsers.parse("the order ran at most {times:d} times"))
def _(run: Run, times: int) -> None:
    assert run.world.executions().get(run.key, 0) <= times


@then("the key ran exactly once")
def _(run: Run) -> None:
    assert run.world.executions() == {run.key: 1}


@then("the key ran at most once")
def _(run: Run) -> None:
    assert run.world.executions().get(run.key, 0) <= 1
    assert len(run.world.answers) == 2


@then("every caller has the same answer")
def _(run: Run) -> None:
    assert {answer.status for answer in run.world.answers} == {200}
    assert len({answer.body for answer in run.world.answers}) == 1


@then("every caller that stayed has an answer")
def _(run: Run) -> None:
    stayed = run.world.answers[int(bool(run.checks.get("gone"))) :]
    assert stayed
    assert {answer.status for answer in stayed} == {200}


@then(parsers.parse("d1 gets no new work after {seconds:g} seconds"))
def _(run: Run, seconds: float) -> None:
    assert run.checks["before"] > 0, "d1 got no work even before"
    assert run.checks["others"] > 100, "the other engine got no work either"
    assert run.checks["late"] == 0


@then(parsers.parse("new requests are refused with {kind}"))
def _(run: Run, kind: str) -> None:
    assert run.checks["refused"] == kind


@then("the stop has ended")
def _(run: Run) -> None:
    assert run.checks["stopped"]


@then("the stop has ended only after the caller had the whole answer")
def _(run: Run) -> None:
    assert run.first.status == 200
    assert run.checks["stopped_at"] >= run.first.finished_at


@then(parsers.parse("it is in force everywhere after {seconds:g} seconds"))
def _(run: Run, seconds: float) -> None:
    assert set(run.checks["revisions"].values()) == {run.checks["wanted"]}


@then("no entry goes back to the old one")
def _(run: Run) -> None:
    assert set(run.checks["revisions"].values()) == {2}


@then("e3 has the new configuration when it is ready")
def _(run: Run) -> None:
    assert run.checks["revisions"]["e3"] == 2
