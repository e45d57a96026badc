# Two commands do everything: `make demo` and `make test`.
VENV := .venv
PY := $(VENV)/bin/python

.PHONY: install demo test proto table-docs format

$(VENV)/.installed: pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -e '.[test]'
	touch $(VENV)/.installed

install: $(VENV)/.installed

demo: install
	$(VENV)/bin/ferrydock demo

test: install
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(PY) tests/run.py

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# Only needed after a change to the .proto file; the generated code is committed.
proto: install
	$(PY) -m pip install -q -e '.[proto]'
	cd ferrydock/membership && ../../$(PY) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. exchange.proto
	mv ferrydock/membership/exchange_pb2.py ferrydock/membership/_exchange_pb2.py
	mv ferrydock/membership/exchange_pb2.pyi ferrydock/membership/_exchange_pb2.pyi

table-docs: install
	$(PY) -m ferrydock.table.docs > docs/operators/table.md
