# Two commands suffice on a fresh machine: `make run` and `make test`.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := core sources table membership admission node transport gateway \
	dispatch edge platform entry \
	client standins bench daemon
EDITABLE := $(foreach name,$(PACKAGES),-e packages/$(name))
SOURCES := packages tests
SEED ?= 1
SECONDS ?= 120

.PHONY: run run-platform test check fmt faults bench slopes overhead

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/python -m tallyhall_bench.first_run

run-platform: $(STAMP)
	$(BIN)/python -m tallyhall_bench.platform_run

test: $(STAMP)
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy $(wildcard packages/*/src) tests
	$(BIN)/lint-imports

fmt: $(STAMP)
	$(BIN)/ruff format $(SOURCES)

faults: $(STAMP)
	$(BIN)/python -m tallyhall_bench.fault_run --seed $(SEED) \
		--seconds $(SECONDS)

slopes: $(STAMP)
	$(BIN)/python -m tallyhall_bench.slopes
	$(BIN)/python -m tallyhall_bench.spread
	$(BIN)/python -m tallyhall_bench.idle

overhead: $(STAMP)
	$(BIN)/python -m tallyhall_bench.overhead

bench: $(STAMP)
	$(BIN)/tallyhall bench scenarios/smoke.toml --policy tallyhall \
		--policy least-load --policy round-robin
