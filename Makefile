# The virtual environment can be shared between checkouts: make VENV=/path test
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
LIBS = core wire platform keeper forward programs policy entry cli
STAMP = $(VENV)/.installed-requirements
export PYTHONPATH = $(subst $(eval ) ,:,$(foreach l,$(LIBS),$(CURDIR)/libs/$(l)/src)):$(CURDIR)/tests:$(CURDIR):$(CURDIR)/platform

.PHONY: setup demo up test check format bench capacity soak days clean

setup: $(STAMP)

$(STAMP): requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	for l in $(LIBS); do $(BIN)/pip install --quiet --no-deps --no-build-isolation --editable libs/$$l || exit 1; done
	cp requirements.txt $(STAMP)

demo: setup
	$(BIN)/python scripts/demo.py

up: setup
	$(BIN)/python scripts/up.py

test: setup
	$(BIN)/python scripts/run_tests.py

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python scripts/check_imports.py

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	$(BIN)/python -m bench
	$(BIN)/python -m bench.path
	$(BIN)/python -m bench.recovery
	$(BIN)/python -m bench.keeping
	$(BIN)/python -m bench.storing
	$(BIN)/python -m bench.start
	$(BIN)/python -m bench.idle

capacity: setup
	$(BIN)/python -m bench.capacity

# Randomized faults on real processes; SEEDS says how many runs.
SEEDS ?= 50
soak: setup
	$(BIN)/python -m soak --seeds $(SEEDS)

# Plays a calm day of both sites; BENCH names the users' bench.
BENCH ?= ../given/kit/more/system
days:
	$(BENCH)/bin/fleetbench run $(BENCH)/sites/chip-valuations.toml quiet-1 --why "make days"
	$(BENCH)/bin/fleetbench run $(BENCH)/sites/carpaluna-reg.toml quiet-1 --why "make days"

clean:
	rm -rf $(VENV) var
