"""The tool that repeats tests keeps the output of failed runs and ends its busy processes."""

import os
from pathlib import Path

import pytest
from click.testing import CliRunner

from tools.repeat import busy_processes, main

FAILS_EVERY_SECOND_RUN = """
from pathlib import Path

def test_every_second_time():
    count = Path(__file__).with_suffix(".count")
    runs = int(count.read_text()) + 1 if count.exists() else 1
    count.write_text(str(runs))
    print("this is run", runs)
    assert runs % 2
"""


def test_failed_runs_are_counted_and_their_output_is_kept(tmp_path: Path) -> None:
    test = tmp_path / "every_second_test.py"
    test.write_text(FAILS_EVERY_SECOND_RUN)
    folder = tmp_path / "kept"
    options = ["--times", "4", "--busy", "1", "--folder", str(folder)]
    completed = CliRunner().invoke(main, [*options, str(test)])
    assert completed.exit_code == 1
    assert completed.output.splitlines()[-1] == "2 of 4 runs failed, with 1 busy processes"
    assert [file.name for file in sorted(folder.iterdir())] == ["run-2.txt", "run-4.txt"]
    assert "this is run 4" in (folder / "run-4.txt").read_text()


def test_busy_processes_end_with_the_context() -> None:
    with busy_processes(2) as process_ids:
        assert len(set(process_ids)) == 2
        for process_id in process_ids:
            os.kill(process_id, 0)
    for process_id in process_ids:
        with pytest.raises(ProcessLookupError):
            os.kill(process_id, 0)
