PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := nutmeglb-formats nutmeglb-decisions nutmeglb nutmegctl
SOURCES := packages platform standins scripts measure tests
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package)) -e platform

.PHONY: run test measure soak queue-soak check format venv bench report

venv: $(VENV)/.installed

$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt -c constraints.txt
	$(BIN)/pip install --quiet --no-build-isolation -c constraints.txt $(EDITABLE)
	touch $@

run: venv
	$(BIN)/python -m scripts.demo $(if $(KEEP),--keep)

test: venv
	$(BIN)/python -m pytest

measure: venv
	$(BIN)/python -m scripts.measure $(if $(CASE),--case=$(CASE))

SEED ?= 1
DURATION_S ?= 60

soak: venv
	$(BIN)/python -m scripts.soak --seed=$(SEED) --duration_s=$(DURATION_S)

queue-soak: venv
	$(BIN)/python -m scripts.queue_soak --seed=$(SEED) --duration_s=$(DURATION_S)

format: venv
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)

check: venv
	$(BIN)/black --quiet --check --diff $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy $(foreach package,$(PACKAGES) nutmeglb-platform,-p $(subst -,_,$(package)))
	$(BIN)/python -m scripts.check_imports
	$(BIN)/python -m scripts.check_settings_docs

LOGS ?= day.txt
OUT ?= report.png

report: venv
	$(BIN)/python -m scripts.report --logs=$(LOGS) --out=$(OUT)

FLEETBENCH ?= fleetbench

bench:
	$(FLEETBENCH) run $(SITE) $(DAY) --why "$(WHY)"
