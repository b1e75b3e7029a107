"""The tool that runs tests many times."""

import os
from pathlib import Path

import pytest
from click.testing import CliRunner

from tools.repeat import busy_processes, main

EVERY_SECOND = """
from pathlib import Path

def test_every_second_time():
    count = Path(__file__).with_suffix(".count")
    runs = int(count.read_text()) + 1 if count.exists() else 1
    count.write_text(str(runs))
    print("this is run", runs)
    assert runs % 2
"""


def test_failed_runs_are_told_with_their_output_kept(tmp_path: Path) -> None:
    test = tmp_path / "every_second_test.py"
    test.write_text(EVERY_SECOND)
    folder = tmp_path / "kept"
    options = ["--times", "4", "--busy", "1", "--folder", str(folder)]
    done = CliRunner().invoke(main, [*options, str(test)])
    assert done.exit_code == 1
    assert done.output.splitlines()[-1] == "2 of 4 runs failed, beside 1 busy processes"
    assert [file.name for file in sorted(folder.iterdir())] == ["run-2.txt", "run-4.txt"]
    assert "this is run 4" in (folder / "run-4.txt").read_text()


def test_busy_processes_are_gone_after() -> None:
    with busy_processes(2) as found:
        assert len(set(found)) == 2
        for number in found:
            os.kill(number, 0)
    for number in found:
        with pytest.raises(ProcessLookupError):
            os.kill(number, 0)
