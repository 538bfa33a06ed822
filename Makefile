PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: help setup test lint format demo demo-platform faults measure slopes proto clean

help:  ## Show the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	@touch $(STAMP)

setup: $(STAMP)  ## Create the virtual environment

test: $(STAMP)  ## Run all tests
	$(BIN)/python scripts/run_tests.py

lint: $(STAMP)  ## Check format and style
	$(BIN)/ruff format --check .
	$(BIN)/flake8

format: $(STAMP)  ## Format the code
	$(BIN)/ruff format .

demo: $(STAMP)  ## Run payouts through two proxies with a failover
	$(BIN)/python scripts/demo.py

demo-platform: $(STAMP)  ## Run payouts over the platform's interfaces while the primary leaves
	$(BIN)/python scripts/demo_platform.py

faults: $(STAMP)  ## Check the guarantees under each fault in virtual time
	$(BIN)/python -m waxwinglift_bench faults

measure: $(STAMP)  ## Measure the policies under load in virtual time
	$(BIN)/python -m waxwinglift_bench measure

slopes: $(STAMP)  ## Measure how cost grows with daemons, databases and connections
	$(BIN)/python -m waxwinglift_bench slopes

proto:  ## Regenerate the committed gRPC code
	$(BIN)/pip install --quiet 'grpcio-tools>=1.70,<2'
	$(BIN)/python scripts/generate_rpc.py

clean:  ## Remove the virtual environment and run folders
	rm -rf $(VENV) run build
