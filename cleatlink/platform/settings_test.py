"""Settings files: each fault is reported exactly once, and unknown settings are ignored."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from cleatlink.core.address import Address
from cleatlink.platform import SettingsError, load_settings
from cleatlink.scripts.commands import main

VALID_SETTINGS = """
node = "front-a-1"
zone = "a"
ip = "10.1.0.35"
internal_ports = [7660, 7675]
seeds = ["10.1.0.35:8146", "10.2.0.28:8146"]
unknown_field = 7
[listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
[bounds]
grace_s = 8
drain_ms = 2000
retry_budget_ratio = 0.2
retry_allowance = 56
budget_window_s = 10
lease_ms = 3000
[platform]
address = "10.200.1.7:8142"
history_s = 20
"""


def write_settings(folder: Path, text: str) -> Path:
    file = folder / "local.toml"
    file.write_text(text)
    return file


def test_valid_file_is_loaded(tmp_path: Path) -> None:
    settings = load_settings(write_settings(tmp_path, VALID_SETTINGS), Address("10.1.0.35", 9100))
    assert settings.name == "front-a-1"
    assert settings.listen == Address("10.1.0.35", 8144)
    assert settings.peer_listen == Address("10.1.0.35", 7660)
    assert settings.tunnel_listen == Address("10.1.0.35", 7675)
    assert settings.peers == (Address("10.1.0.35", 7660), Address("10.2.0.28", 7660))
    assert (settings.lease_s, settings.drain_s) == (3.0, 8.0)
    assert (settings.is_first_start, settings.data_centres) == (False, ())


def test_first_start_and_data_centres_are_read(tmp_path: Path) -> None:
    text = VALID_SETTINGS.replace(
        "[listen]", "bootstrap = true\n[zones]\na = 'r'\nb = 'r'\n[listen]"
    )
    settings = load_settings(write_settings(tmp_path, text))
    assert (settings.is_first_start, settings.data_centres) == (True, ("a", "b"))


@pytest.mark.parametrize(("key", "value"), [("bootstrap", "1"), ("zones", "'a'")])
def test_optional_setting_of_the_wrong_type_is_reported(
    tmp_path: Path, key: str, value: str
) -> None:
    text = VALID_SETTINGS.replace("[listen]", f"{key} = {value}\n[listen]")
    with pytest.raises(SettingsError, match=f"{key} has the wrong type"):
        load_settings(write_settings(tmp_path, text))


def test_single_internal_port_leaves_none_for_tunnels(tmp_path: Path) -> None:
    text = VALID_SETTINGS.replace("[7660, 7675]", "[7660]")
    assert load_settings(write_settings(tmp_path, text)).tunnel_listen is None


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('node = "front-a-1"', "", "node is missing"),
        ('zone = "a"', 'zone = ""', "zone is empty"),
        ("grace_s = 8", "grace_s = -1", "bounds.grace_s is negative"),
        ("grace_s = 8", 'grace_s = "8"', "bounds.grace_s has the wrong type, str"),
        ("internal_ports = [7660, 7675]", "internal_ports = []", "internal_ports has no port"),
        ("[7660, 7675]", '[7660, "7675"]', "internal_ports has no port"),
        ("10.1.0.35:8144", "here:8144", "listen.front: 'here:8144' is not an IP number"),
        ("[bounds]", "[bounds", "can't be read"),
    ],
)
def test_each_fault_is_reported_once(tmp_path: Path, old: str, new: str, fault: str) -> None:
    file = write_settings(tmp_path, VALID_SETTINGS.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load_settings(file)
    assert len(caught.value.faults) == 1
    assert fault in caught.value.faults[0]


def test_commands_report_faults_of_the_settings_file(tmp_path: Path) -> None:
    runner = CliRunner()
    file = write_settings(tmp_path, VALID_SETTINGS)
    assert runner.invoke(main, ["config", "check", str(file)]).exit_code == 0
    invalid = write_settings(
        tmp_path, VALID_SETTINGS.replace('zone = "a"', "").replace("grace_s = 8", "")
    )
    checked = runner.invoke(main, ["config", "check", str(invalid)])
    assert checked.exit_code == 1
    assert checked.output.count("is missing") == 2
    for path in (invalid, tmp_path / "absent.toml"):
        started = runner.invoke(main, ["entry"], env={"CLEATLINK_BOOT": str(path)})
        assert started.exit_code == 1
        assert str(path) in started.output
    assert "--settings-file" in runner.invoke(main, ["entry", "--help"]).output
