"""Tests of run_watched: its results, and exceptions that are not wrapped in a group."""

import pytest
import trio

from cleatlink.relay.tasks import run_watched


async def _watch_forever(_: trio.CancelScope) -> None:
    await trio.sleep_forever()


async def test_watch_is_cancelled_when_work_returns() -> None:
    async def work() -> int:
        await trio.sleep(0)
        return 7

    assert await run_watched(work, _watch_forever) == 7


async def test_watch_cancels_work() -> None:
    async def watch(work_scope: trio.CancelScope) -> None:
        work_scope.cancel()

    assert await run_watched(trio.sleep_forever, watch) is None


async def test_exception_of_work_is_raised_without_group() -> None:
    async def work() -> None:
        raise KeyError("x")

    with pytest.raises(KeyError):
        await run_watched(work, _watch_forever)


async def test_cancellation_from_outside_is_raised_without_group() -> None:
    error_names: list[str] = []
    with trio.CancelScope() as scope:
        scope.cancel()
        try:
            await run_watched(trio.sleep_forever, _watch_forever)
        except BaseException as error:
            error_names.append(type(error).__name__)
            raise
    assert error_names == ["Cancelled"]
    assert scope.cancelled_caught
