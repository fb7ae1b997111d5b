export PYTHONHASHSEED = 0

PYTHON ?= python3
VENV ?= .venv

.PHONY: setup demo test lint bench

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(VENV)/bin/python -m tests.standins.demo

lint: setup
	$(VENV)/bin/black --check --quiet .
	$(VENV)/bin/ruff check --quiet .

test: lint
	$(VENV)/bin/python -m pytest -n auto -m 'not known_red'
	$(VENV)/bin/python -m tests.known_red
