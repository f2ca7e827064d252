# make demo: a small whole system between stand-ins on loopback; make demo-router: the router for caches;
# make test: lint, types and the tests. Each makes what it needs.
PYTHON ?= python3
WORKERS ?= 8

.venv/requirements.txt: requirements.txt
	$(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt .venv/

.venv/requirements-dev.txt: requirements-dev.txt .venv/requirements.txt
	.venv/bin/pip -q install -r requirements-dev.txt
	cp requirements-dev.txt .venv/

.PHONY: demo demo-router test
demo: .venv/requirements.txt
	.venv/bin/python -m rowanshift demo

demo-router: .venv/requirements.txt
	.venv/bin/python -m rowanshift demo --router

test: .venv/requirements-dev.txt
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/python -m pytest -q -n $(WORKERS) --dist loadgroup
