VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench clean

$(STAMP): requirements.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -r requirements.txt
	$(PYTHON) -m pip install -q --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(PYTHON) -W ignore -m standins.demo

test: $(STAMP)
	$(PYTHON) -m pytest

lint: $(STAMP)
	$(PYTHON) -m black --check -q almondshore standins bench soak test docs/examples
	$(PYTHON) -m ruff check -q --no-cache almondshore standins bench soak test docs/examples

format: $(STAMP)
	$(PYTHON) -m black -q almondshore standins bench soak test docs/examples
	$(PYTHON) -m ruff check -q --no-cache --fix almondshore standins bench soak test docs/examples

bench: $(STAMP)
	$(PYTHON) -W ignore -m bench.main

clean:
	rm -rf $(VENV)
