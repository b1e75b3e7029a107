"""Variants of a site differ in the fields of their kind; the table shows the change of worth."""

import tomllib
from pathlib import Path

import pytest

from tools.kinds.bench_run import BenchRun, RunResult, WorkTree, copy_without_mechanism
from tools.kinds.engine_profiles import ENGINE_PROFILES, EngineProfile
from tools.kinds.main import MAX_WORTH_LOSS, render, write_variants
from tools.kinds.site_file import SiteFileError, make_variant

SITE = """\
name = "made-up"
services = [
  { name = "model", servers = [{ zone = "a", count = 2 }, { zone = "b", count = 1 }], slots = 4, \
llm = { batch = 4, step_ms = 1.0, step_ms_per_slot = 0.1, prefill_tokens_per_ms = 9.0, \
kv_tokens = 100, setup_ms = 2.0, switch_s = 6.0 } },
  { name = "plain", servers = [{ zone = "a", count = 2 }], slots = 6 },
]
classes = [
  { name = "ask", stream = { pieces = { mean = 7.0 }, prompt_tokens = { mean = 30.0 } } },
]

[timing]
x = 1

[bounds]
drain_ms = 5
"""
SLOW = EngineProfile(
    "slow",
    16.0,
    5.5,
    900,
    8,
    100.0,
    12.0,
    engine_count_factor=2.0,
    mean_prompt_tokens=11.0,
    mean_output_events=3.0,
)


def test_variant_changes_only_the_fields_of_its_kind() -> None:
    variant, original = tomllib.loads(make_variant(SITE, SLOW)), tomllib.loads(SITE)
    model, plain = variant["services"]
    assert model["llm"] == {
        "batch": 8,
        "step_ms": 16.0,
        "step_ms_per_slot": 0.1,
        "prefill_tokens_per_ms": 5.5,
        "kv_tokens": 900,
        "setup_ms": 100.0,
        "switch_s": 12.0,
    }
    assert model["slots"] == 8
    assert [zone["count"] for zone in model["servers"]] == [4, 2]
    assert plain == original["services"][1]
    assert variant["classes"][0]["stream"]["pieces"]["mean"] == 3.0
    assert variant["classes"][0]["stream"]["prompt_tokens"]["mean"] == 11.0
    assert variant["bounds"] == original["bounds"]


def test_kind_without_fields_leaves_the_site_unchanged() -> None:
    assert make_variant(SITE, EngineProfile("own")) == SITE


def test_setting_replaces_or_adds_a_field() -> None:
    variant = tomllib.loads(
        make_variant(SITE, EngineProfile("own"), ("bounds.drain_ms=7", "timing.even=true"))
    )
    assert variant["bounds"] == {"drain_ms": 7}
    assert variant["timing"] == {"even": True, "x": 1}


@pytest.mark.parametrize(
    ("site", "settings"),
    [
        ("", ()),
        (SITE.replace("step_ms = ", "other = "), ()),
        (SITE, ("nothing",)),
        (SITE, ("unknown.x=1",)),
    ],
)
def test_missing_field_or_table_is_an_error(site: str, settings: tuple[str, ...]) -> None:
    with pytest.raises(SiteFileError):
        make_variant(site, SLOW, settings)


def test_variants_are_written_with_the_json_files_of_the_site(tmp_path: Path) -> None:
    site_folder = tmp_path / "home"
    site_folder.mkdir()
    (site_folder / "site.toml").write_text(SITE)
    (site_folder / "names.json").write_text("{}")
    sites = write_variants(site_folder / "site.toml", [EngineProfile("own"), SLOW], (), tmp_path)
    assert list(sites) == ["own", "slow"]
    assert sites["own"].read_text() == SITE
    assert (sites["slow"].parent / "names.json").exists()


def test_copied_tree_switches_a_mechanism_off_in_its_deploy_file(tmp_path: Path) -> None:
    deploy = tmp_path / "tree" / "deploy"
    deploy.mkdir(parents=True)
    (deploy / "system.toml").write_text('run = "python3 -m cleatlink.scripts.main entry --x 1"\n')
    tree = copy_without_mechanism(WorkTree("now", tmp_path / "tree"), "holds", tmp_path / "copy")
    assert tree.label == "without holds"
    assert "entry --without holds --x 1" in (tree.folder / "deploy" / "system.toml").read_text()
    (deploy / "system.toml").write_text('run = "other"\n')
    with pytest.raises(ValueError, match="does not run"):
        copy_without_mechanism(WorkTree("now", tmp_path / "tree"), "holds", tmp_path / "again")


def result(label: str, worth: float | None, failure: str = "") -> RunResult:
    run = BenchRun("slow", Path("site"), "calm", 1, WorkTree(label, Path()))
    return RunResult(run, worth, failure)


@pytest.mark.parametrize(("now", "passes"), [(0.5, True), (0.48, True), (0.45, False)])
def test_loss_above_the_maximum_does_not_pass(now: float, passes: bool) -> None:
    assert MAX_WORTH_LOSS < 0.05
    table, passed = render([result("before", 0.5), result("now", now)], ["before", "now"])
    assert passed is passes
    assert f"| slow, calm | 0.500 | {now:.3f} | {now - 0.5:+.3f} |" in table


def test_failed_run_has_no_mean_and_is_listed() -> None:
    items = [result("before", 0.5), result("now", 0.6), result("now", None, "rules broken: X")]
    table, passed = render(items, ["before", "now"])
    assert not passed
    assert "| slow, calm | 0.500 | failed | - |" in table
    assert "failed: slow, calm, seed 1, now: rules broken: X" in table


def test_kinds_cover_the_range_of_engines() -> None:
    assert len({kind.name for kind in ENGINE_PROFILES}) == len(ENGINE_PROFILES) >= 8
    steps = [kind.decode_step_ms for kind in ENGINE_PROFILES if kind.decode_step_ms]
    assert (min(steps), max(steps)) == (0.2, 20.0)
    prompt_rates = [
        kind.prompt_tokens_per_ms for kind in ENGINE_PROFILES if kind.prompt_tokens_per_ms
    ]
    assert (min(prompt_rates), max(prompt_rates)) == (5.0, 60.0)
