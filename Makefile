# make demo: a router between stand-ins on loopback; make test: lint and the tests. Both make what they need.
PYTHON ?= python3

.venv/requirements.txt: requirements.txt
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt .venv/

.venv/requirements-dev.txt: requirements-dev.txt .venv/requirements.txt
	.venv/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt .venv/

.PHONY: demo test
demo: .venv/requirements.txt
	.venv/bin/python -m rowanshift demo

test: .venv/requirements-dev.txt
	.venv/bin/ruff check .
	.venv/bin/python -m pytest -q
