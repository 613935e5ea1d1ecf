# Two commands matter to a newcomer: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test check capacity clean

setup: $(VENV)/ready

$(VENV)/ready: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/python -m tools.demo

test: setup
	$(BIN)/python -m tools.run_tests

check: setup
	$(BIN)/ruff format --check src platform tests bench tools soak
	$(BIN)/ruff check src platform tests bench tools soak
	$(BIN)/mypy

capacity: setup
	$(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) build
