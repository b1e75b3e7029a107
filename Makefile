# Two commands: `make demo` runs the main job, `make test` checks everything.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test setup format

setup: .venv/.done

.venv/.done: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch .venv/.done

demo: setup
	$(BIN)/python -m demo.main

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m tools.verdict

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
