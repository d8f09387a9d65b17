VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install demo test model lint format bench

install: $(STAMP)

$(STAMP): requirements.lock $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	  --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	  --no-deps --no-build-isolation $(addprefix --editable ,$(wildcard libs/*) platform)
	touch $(STAMP)

demo: install
	$(BIN)/godwitdale demo

test: install
	$(BIN)/pytest

model: install
	$(BIN)/python -m pytest -n 0 -s tests/model

format: install
	$(BIN)/ruff format conftest.py libs platform tests tools
	$(BIN)/ruff check --fix conftest.py libs platform tests tools

lint: install
	$(BIN)/ruff format --check conftest.py libs platform tests tools
	$(BIN)/ruff check conftest.py libs platform tests tools
	$(BIN)/python tools/check_imports.py libs platform tests tools
	$(BIN)/lint-imports
	$(BIN)/mypy libs/*/src platform/src
