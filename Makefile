# The environment is ready when this file exists; its name changes with the
# pinned requirements, so that a change of a pin installs again.
VENV := .venv
PY := $(VENV)/bin/python
READY := $(VENV)/ready-$(shell cat requirements*.txt | sha256sum | cut -c1-12)
CODE := goldcresthaven standins tools bench proofs soak tests

.PHONY: env run test format check unit prove bench capacity soak

env: $(READY)

$(READY):
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -r requirements-dev.txt
	$(PY) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

run: env
	$(PY) -m tools.fleet

format: env
	$(PY) -m ruff check --quiet --fix $(CODE)
	$(PY) -m ruff format --quiet $(CODE)

check: env
	$(PY) -m ruff check $(CODE)
	$(PY) -m ruff format --check $(CODE)
	$(PY) -m flake8 $(CODE)
	$(PY) -m mypy

unit: env
	$(PY) -m tools.run_tests

test: check unit

prove: env
	$(PY) -m proofs

bench: env
	$(PY) -m bench

capacity: env
	$(PY) -m tools.capacity

# One seed; more by hand: python -m soak --count 50
soak: env
	$(PY) -m soak
