VENV ?= .venv
PYTHON := $(VENV)/bin/python
PACKAGES := $(wildcard libs/*) $(wildcard programs/*)
export PYTHONPATH := $(subst $() ,:,$(foreach p,$(PACKAGES),$(CURDIR)/$(p)/src)):$(CURDIR)/platform
export PATH := $(CURDIR)/$(VENV)/bin:$(PATH)

# The stamp carries a hash of its inputs, so that a change of the pins sets up again.
STAMP := $(VENV)/.installed-$(shell cat requirements.txt $(addsuffix /pyproject.toml,$(PACKAGES)) | sha256sum | cut -c1-16)

.PHONY: setup demo test scenarios measure format

setup: $(STAMP)

$(STAMP):
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),--editable $(p))
	rm -f $(VENV)/.installed-*
	touch $@

format: setup
	$(PYTHON) -m black --quiet .
	$(PYTHON) -m ruff check --quiet --fix .

test: setup
	$(PYTHON) tools/check.py

scenarios: setup
	$(PYTHON) tools/scenarios.py $(if $(ONLY),--only "$(ONLY)") $(if $(SEED),--seed $(SEED))

demo: setup
	$(VENV)/bin/zinnia-measure demo

measure: setup
	$(VENV)/bin/zinnia-measure measure $(if $(QUICK),--quick) $(if $(SEED),--seed=$(SEED))
