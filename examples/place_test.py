"""Tests that the library example runs and places its request."""

import runpy

import pytest


def test_example_places_a_request(capsys: pytest.CaptureFixture[str]) -> None:
    runpy.run_module("examples.place")
    printed = capsys.readouterr().out
    assert printed.startswith("Placement(")
    assert "name='d1'" in printed
