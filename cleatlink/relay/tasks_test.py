"""Work beside a watch: what comes out of it, and that nothing comes in a group."""

import pytest
import trio

from cleatlink.relay.tasks import run_watched


async def _watch_for_ever(_: trio.CancelScope) -> None:
    await trio.sleep_forever()


async def test_result_of_the_work_ends_the_watch() -> None:
    async def work() -> int:
        await trio.sleep(0)
        return 7

    assert await run_watched(work, _watch_for_ever) == 7


async def test_watch_ends_the_work() -> None:
    async def watch(leave: trio.CancelScope) -> None:
        leave.cancel()

    assert await run_watched(trio.sleep_forever, watch) is None


async def test_failure_of_the_work_is_raised_as_it_is() -> None:
    async def work() -> None:
        raise KeyError("x")

    with pytest.raises(KeyError):
        await run_watched(work, _watch_for_ever)


async def test_cancellation_from_outside_is_one_and_not_a_group() -> None:
    seen: list[str] = []
    with trio.CancelScope() as scope:
        scope.cancel()
        try:
            await run_watched(trio.sleep_forever, _watch_for_ever)
        except BaseException as error:
            seen.append(type(error).__name__)
            raise
    assert seen == ["Cancelled"]
    assert scope.cancelled_caught
