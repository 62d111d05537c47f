# Two commands suffice on a fresh machine: `make run` and `make test`.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := core sources table membership admission node transport gateway \
	dispatch edge platform entry \
	client standins bench emulator daemon
EDITABLE := $(foreach name,$(PACKAGES),-e packages/$(name))
SOURCES := packages tests
SEED ?= 1
SECONDS ?= 120
SEEDS ?= 1
# Tests wait as well as compute.
TEST_WORKERS ?= 4

.PHONY: run run-platform proto days soak rollouts limits retries pauses limit-pauses stops isolation versions releases parts endless crowds test check fmt faults bench slopes overhead start-cost return-run

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/python -m tallyhall_bench.first_run

run-platform: $(STAMP)
	$(BIN)/python -m tallyhall_bench.platform_run

# Generated code is committed; this writes it anew.
proto: $(STAMP)
	cd packages/transport/src/tallyhall_transport && \
		$(CURDIR)/$(BIN)/python -m grpc_tools.protoc -I. \
		--python_out=generated --pyi_out=generated \
		--grpc_python_out=generated peers.proto && \
		sed -i 's/^import peers_pb2/from . import peers_pb2/' \
		generated/peers_pb2_grpc.py

# Faults on real processes, drawn by seed.
soak: $(STAMP)
	$(BIN)/python -m tallyhall_bench.platform_soak --seed $(SEED) \
		--seeds $(SEEDS) --seconds $(SECONDS)

# Roll-outs of good and bad versions on real processes, with troubles beside.
rollouts: $(STAMP)
	$(BIN)/python -m tallyhall_bench.rollout_run --seed $(SEED) \
		--seeds $(SEEDS) --trouble none --trouble leader --trouble four \
		--trouble away --trouble all

# Upstreams that name limits, on real processes, with troubles beside.
limits: $(STAMP)
	$(BIN)/python -m tallyhall_bench.limit_run --seed $(SEED) \
		--seeds $(SEEDS) --trouble none --trouble restarts --trouble losses \
		--trouble stops --trouble freezes --trouble away

# Upstreams that reject, on real processes, beside instances lost in series.
retries: $(STAMP)
	$(BIN)/python -m tallyhall_bench.retry_run --seed $(SEED) \
		--seeds $(SEEDS)

# Upstreams that stop reading for seconds, as processes that signals stop.
pauses: $(STAMP)
	$(BIN)/python -m tallyhall_bench.pause_run --seed $(SEED) \
		--seeds $(SEEDS)

# The same where upstreams name limits.
limit-pauses: $(STAMP)
	$(BIN)/python -m tallyhall_bench.limit_pause_run --seed $(SEED) \
		--seeds $(SEEDS)

# Planned stops beside requests whose runs take long.
stops: $(STAMP)
	$(BIN)/python -m tallyhall_bench.stop_run --seed $(SEED) \
		--seeds $(SEEDS)

# Instances that lose their way to all upstreams, on real processes.
isolation: $(STAMP)
	$(BIN)/python -m tallyhall_bench.isolation_run --seed $(SEED) \
		--seeds $(SEEDS)

# Upstreams of several versions side by side, while instances are killed.
versions: $(STAMP)
	$(BIN)/python -m tallyhall_bench.versions_run --seed $(SEED) \
		--seeds $(SEEDS)

# A version joins while one instance does not hear of it.
releases: $(STAMP)
	$(BIN)/python -m tallyhall_bench.release_run --seed $(SEED) \
		--seeds $(SEEDS)

# The users' bench plays each day of our own: BENCH and SITE are its program
# and a site file.
days:
	for day in scenarios/platform/*.toml; do \
		$(BENCH) run $(SITE) $$day --why "a day of each kind of trouble" \
		| grep -E '^[a-z-]+ +[0-9]+/|^rules broken'; done

# Parts of prompts that crash upstreams, on real processes.
parts: $(STAMP)
	$(BIN)/python -m tallyhall_emulator.part_play --seeds $(SEEDS)
	$(BIN)/python -m tallyhall_bench.part_run --seed $(SEED) \
		--seeds $(SEEDS)

# Upstreams whose answers have no end, on real processes.
endless: $(STAMP)
	$(BIN)/python -m tallyhall_bench.endless_run --seed $(SEED) \
		--seeds $(SEEDS)

# Clients that do not behave, at each listener of a real process.
crowds: $(STAMP)
	$(BIN)/python -m tallyhall_bench.crowd_run

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal -m "not alone"
	$(BIN)/python -m pytest -m alone

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

# Processor time of a start; OLD is another checkout to compare with.
start-cost: $(STAMP)
	$(BIN)/python -m tallyhall_bench.start_cost $(if $(OLD),--old $(OLD))

# Callers that come back after the loss of all; OLD as above.
return-run: $(STAMP)
	$(BIN)/python -m tallyhall_bench.return_run $(if $(OLD),--old $(OLD))
