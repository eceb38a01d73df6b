# Each target sets up the virtual environment; requires only Python 3.11, pip and make.
PYTHON ?= python3
UV_VERSION = 0.13.9
BIN = .venv/bin
STAMP = .venv/.installed

.PHONY: setup format lint test proofs demo fleet soak bench clean

setup: $(STAMP)

$(STAMP): requirements.txt pyproject.toml $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet uv==$(UV_VERSION)
	$(BIN)/uv pip install --quiet --python $(BIN)/python -r requirements.txt
	$(BIN)/uv pip install --quiet --python $(BIN)/python --no-deps --no-build-isolation \
		-e packages/briarshed -e packages/briarshed-entry \
		-e packages/briarshed-cli -e packages/briarshed-standins \
		-e packages/briarshed-workloads -e platform
	touch $(STAMP)

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python features/run.py --tags "not @long"

proofs: setup
	$(BIN)/python features/run.py --tags @long

demo: setup
	$(BIN)/python -m briarshed_standins.demo

fleet: setup
	$(BIN)/python -m briarshed_standins.fleet

SEED ?= 1
SECONDS ?= 30
soak: setup
	$(BIN)/python -m briarshed_platform_standins.soak --seed $(SEED) --seconds $(SECONDS)

bench: setup
	$(BIN)/python bench/run.py

clean:
	rm -rf .venv
