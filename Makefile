# Every target sets up what it needs; PYTHON must be a Python 3.11.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PIP := $(BIN)/python -m pip --disable-pip-version-check --quiet
READY := $(VENV)/.ready
SOURCES := samphirerill

.PHONY: demo test check tests binary start-up bench fuzz generate clean

$(READY): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(PIP) install -r requirements-dev.txt
	$(PIP) install --no-deps --no-build-isolation --editable .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m samphirerill.testing.demo

test: check tests

check: $(READY)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/mypy $(SOURCES)

tests: $(READY)
	$(BIN)/python -m samphirerill.testing.run_tests

binary: $(READY)
	bash tools/build-binary $(BIN)

start-up: binary
	$(BIN)/python -m samphirerill.bench.start_up dist/samphirerill

bench: $(READY)
	$(BIN)/python -m samphirerill.bench.capacity

fuzz: $(READY)
	$(BIN)/python -m samphirerill.properties.long_run

generate: $(READY)
	$(BIN)/python -m grpc_tools.protoc -Isamphirerill/backends \
	    --python_out=samphirerill/backends --pyi_out=samphirerill/backends \
	    --grpc_python_out=samphirerill/backends samphirerill/backends/peers.proto
	sed -i 's/^import peers_pb2 as/from samphirerill.backends import peers_pb2 as/' \
	    samphirerill/backends/peers_pb2_grpc.py

clean:
	rm -rf $(VENV) dist build *.egg-info
