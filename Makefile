# Every target sets up its own environment first, so each works on a fresh machine.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo demo-platform test lint binary docs clean

demo: $(VENV)/.installed
	$(BIN)/python -m trefoilpaddle.standins demo $(ARGS)

demo-platform: $(VENV)/.installed
	$(BIN)/python -m trefoilpaddle.standins demo_platform

# KNOWN-RED.txt names the tests that may fail; see docs/contributing/changes.md.
test: lint
	$(BIN)/python -m pytest -p tools.known_red $(ARGS)

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	PYTHONPATH=src $(BIN)/lint-imports --no-cache

binary: $(VENV)/.installed
	$(BIN)/python tools/build_binary.py
	$(BIN)/python -m tools.check_binary

docs: $(VENV)/.installed
	$(BIN)/python -m tools.write_reference

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -c 'import sys; sys.exit(0 if sys.version_info >= (3, 11) else "trefoilpaddle needs Python 3.11 or newer; name one with make PYTHON=...")'
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --editable ".[dev,replay]"
	touch $@

clean:
	rm -rf build dist .venv .mypy_cache .ruff_cache .pytest_cache .hypothesis
