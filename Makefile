PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

.PHONY: setup demo test bench slopes binary lint soak

setup: $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo $(DEMO_FLAGS)

test: $(STAMP)
	$(BIN)/python -m pytest $(TEST_FLAGS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: $(STAMP)
	$(BIN)/python -m bench.measure $(BENCH_FLAGS)

slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

binary: $(STAMP)
	$(BIN)/python -m bench.binary

soak: $(STAMP)
	$(BIN)/python -m tests.soak.soak $(SOAK_FLAGS)
