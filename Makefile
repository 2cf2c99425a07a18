VENV ?= .venv
PYTHON ?= python3.11
PACKAGES := core net node cli emulator
SOURCES := packages platform tests
BIN := $(VENV)/bin
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/pollenglade-$(p)/src)):$(CURDIR)/platform/src:$(CURDIR)/platform/tests:$(CURDIR)/tests

.PHONY: setup run test check format bench soak two-builds clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	command -v $(PYTHON) >/dev/null || { echo "Python 3.11 is needed; set PYTHON=/path/to/python3.11" >&2; exit 1; }
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),--editable packages/pollenglade-$(p)) --editable platform
	touch $@

run: setup
	$(BIN)/python -m pollenglade_emulator demo

test: setup
	$(BIN)/python tests/run.py

check: setup
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/mypy $(SOURCES)

format: setup
	$(BIN)/ruff check --quiet --fix --exit-zero $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)

bench: setup
	$(BIN)/python -m pollenglade_emulator link-comparison
	$(BIN)/python -m pollenglade_emulator hop-cost
	$(BIN)/python -m pollenglade_emulator http-cost
	$(BIN)/python -m pollenglade_emulator decision-cost
	$(BIN)/python -m pollenglade_emulator control-cost
	$(BIN)/python -m pollenglade_emulator bench $(SCENARIO)

soak: setup
	HYPOTHESIS_PROFILE=soak $(BIN)/python tests/run.py

two-builds: setup
	$(BIN)/python tests/two_builds.py $(OTHER)

clean:
	rm -rf $(VENV) build results .mypy_cache .ruff_cache .hypothesis
