# Every target sets up what it needs: a virtual environment in .venv with pinned versions.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
PACKAGES := $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
SOURCES := packages platform tests deploy
WORKERS ?= 6
BENCH ?= quick
SEED ?= 1
SEEDS ?= 1
SECONDS ?= 15
KEEP ?=

.PHONY: setup test check format unit demo demo-serve gateway-demo bench slopes soak gateway-slopes schema

$(READY): constraints.txt requirements.txt $(PACKAGES)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
	    $(foreach p,$(PACKAGES),-e $(dir $(p)))
	touch $(READY)

setup: $(READY)

check: $(READY)
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/mypy
	$(BIN)/mypy tests

unit: $(READY)
	$(BIN)/pytest -n $(WORKERS) -m "not alone"
	$(BIN)/pytest -m alone

test: check unit

format: $(READY)
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)

demo: $(READY)
	$(BIN)/python -m wigeonarch_fakes.demo

demo-serve: $(READY)
	$(BIN)/python -m wigeonarch_fakes.demo --serve

bench: $(READY)
	$(BIN)/python -m wigeonarch_fakes.bench --size $(BENCH)
	$(BIN)/python -m wigeonarch_fakes.quota_bench

slopes: $(READY)
	$(BIN)/python -m wigeonarch_fakes.slopes

gateway-demo: $(READY)
	$(BIN)/python tests/gateway_demo.py $(KEEP)

soak: $(READY)
	$(BIN)/python tests/soak.py --seed $(SEED) --seconds $(SECONDS) --seeds $(SEEDS)

gateway-slopes: $(READY)
	$(BIN)/python tests/gateway_slopes.py 6:6 12:12 24:12 24:24

schema: $(READY)
	$(BIN)/python -m grpc_tools.protoc -I packages/wigeonarch-schema/src \
	    --python_out=packages/wigeonarch-schema/src \
	    --grpc_python_out=packages/wigeonarch-schema/src \
	    --plugin=protoc-gen-mypy=$(BIN)/protoc-gen-mypy \
	    --plugin=protoc-gen-mypy_grpc=$(BIN)/protoc-gen-mypy_grpc \
	    --mypy_out=quiet:packages/wigeonarch-schema/src \
	    --mypy_grpc_out=quiet:packages/wigeonarch-schema/src \
	    packages/wigeonarch-schema/src/wigeonarch_schema/wigeonarch.proto
