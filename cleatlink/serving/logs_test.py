"""Log lines of one request share an eliot task, and each line has its component's prefix."""

import eliot
import eliot.testing
import trio

from standins.world import World, wait_for_tokens


def test_log_lines_of_one_request_share_a_task_and_name_the_request() -> None:
    lines: list[dict[str, object]] = []

    async def scenario(world: World) -> None:
        world.fleet.dead.add("d1")
        world.fleet.dead.add("d2")
        caller = world.start_model_request("e1", 5)
        await wait_for_tokens(caller, 6)
        while not caller.status:
            await trio.sleep(0.01)

    eliot.add_destinations(lines.append)
    # eliot buffers messages until the first destination is added, and delivers them then.
    lines.clear()
    try:
        World().run(scenario)
    finally:
        eliot.remove_destination(lines.append)
    request_actions = [line for line in lines if line.get("action_type") == "request: model"]
    assert len({line["task_uuid"] for line in request_actions}) == 1
    request_lines = [line for line in lines if line["task_uuid"] == request_actions[0]["task_uuid"]]
    messages = [str(line["message_type"]) for line in request_lines if "message_type" in line]
    assert "request: retries after a failure" in messages
    assert messages[-1] == "request: ends with an error"
    assert {line["request"] for line in request_lines if "message_type" in line} == {
        request_actions[0]["request"]
    }
    components = {
        str(line["message_type"]).partition(":")[0] for line in lines if "message_type" in line
    }
    assert components >= {"entry", "config", "request"}
