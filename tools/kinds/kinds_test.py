"""Variants of a site differ in what their kind says; the table tells what was lost."""

import tomllib
from pathlib import Path

import pytest

from tools.kinds.catalogue import KINDS, Kind
from tools.kinds.main import MOST_LOSS, render, write_variants
from tools.kinds.play import Play, Played, Tree, copy_without
from tools.kinds.site_file import SiteError, vary

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
SLOW = Kind("slow", 16.0, 5.5, 900, 8, 100.0, 12.0, engines=2.0, prompt=11.0, output=3.0)


def test_variant_has_what_its_kind_says_and_leaves_the_rest() -> None:
    varied, own = tomllib.loads(vary(SITE, SLOW)), tomllib.loads(SITE)
    model, plain = varied["services"]
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
    assert plain == own["services"][1]
    assert varied["classes"][0]["stream"]["pieces"]["mean"] == 3.0
    assert varied["classes"][0]["stream"]["prompt_tokens"]["mean"] == 11.0
    assert varied["bounds"] == own["bounds"]


def test_kind_that_says_nothing_leaves_a_site_alone() -> None:
    assert vary(SITE, Kind("own")) == SITE


def test_settings_replace_a_field_or_add_it() -> None:
    varied = tomllib.loads(vary(SITE, Kind("own"), ("bounds.drain_ms=7", "timing.even=true")))
    assert varied["bounds"] == {"drain_ms": 7}
    assert varied["timing"] == {"even": True, "x": 1}


@pytest.mark.parametrize(
    ("site", "settings"),
    [
        ("", ()),
        (SITE.replace("step_ms = ", "other = "), ()),
        (SITE, ("nothing",)),
        (SITE, ("unknown.x=1",)),
    ],
)
def test_site_that_lacks_what_is_changed_is_an_error(site: str, settings: tuple[str, ...]) -> None:
    with pytest.raises(SiteError):
        vary(site, SLOW, settings)


def test_variants_lie_beside_the_files_of_their_site(tmp_path: Path) -> None:
    home = tmp_path / "home"
    home.mkdir()
    (home / "site.toml").write_text(SITE)
    (home / "names.json").write_text("{}")
    sites = write_variants(home / "site.toml", [Kind("own"), SLOW], (), tmp_path)
    assert list(sites) == ["own", "slow"]
    assert sites["own"].read_text() == SITE
    assert (sites["slow"].parent / "names.json").exists()


def test_tree_without_a_mechanism_says_so_in_its_deploy_file(tmp_path: Path) -> None:
    deploy = tmp_path / "tree" / "deploy"
    deploy.mkdir(parents=True)
    (deploy / "system.toml").write_text('run = "python3 -m cleatlink.scripts.main entry --x 1"\n')
    tree = copy_without(Tree("now", tmp_path / "tree"), "holds", tmp_path / "copy")
    assert tree.label == "without holds"
    assert "entry --without holds --x 1" in (tree.folder / "deploy" / "system.toml").read_text()
    (deploy / "system.toml").write_text('run = "other"\n')
    with pytest.raises(ValueError, match="does not run"):
        copy_without(Tree("now", tmp_path / "tree"), "holds", tmp_path / "again")


def played(label: str, worth: float | None, note: str = "") -> Played:
    play = Play("slow", Path("site"), "calm", 1, Tree(label, Path()))
    return Played(play, worth, note)


@pytest.mark.parametrize(("now", "sound"), [(0.5, True), (0.48, True), (0.45, False)])
def test_table_tells_what_lost(now: float, sound: bool) -> None:
    assert MOST_LOSS < 0.05
    table, was_sound = render([played("before", 0.5), played("now", now)], ["before", "now"])
    assert was_sound is sound
    assert f"| slow, calm | 0.500 | {now:.3f} | {now - 0.5:+.3f} |" in table


def test_failed_play_gives_no_mean_and_is_told() -> None:
    items = [played("before", 0.5), played("now", 0.6), played("now", None, "rules broken: X")]
    table, sound = render(items, ["before", "now"])
    assert not sound
    assert "| slow, calm | 0.500 | failed | - |" in table
    assert "failed: slow, calm, seed 1, now: rules broken: X" in table


def test_kinds_span_what_engines_do() -> None:
    assert len({kind.name for kind in KINDS}) == len(KINDS) >= 8
    steps = [kind.step_ms for kind in KINDS if kind.step_ms]
    assert (min(steps), max(steps)) == (0.2, 20.0)
    paces = [kind.prompt_tokens_ms for kind in KINDS if kind.prompt_tokens_ms]
    assert (min(paces), max(paces)) == (5.0, 60.0)
