# A thin layer over CMake.  `make help` lists the goals.

BUILD ?= build
SANITIZE_BUILD ?= build-sanitize
ORG ?= consortium
# Tests that KNOWN-RED.txt lists; .ci/check sets it.
KNOWN_RED ?= ^none$$$$
export KNOWN_RED

JOBS ?= $(shell nproc)

SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | grep -Ev '^src/wire/generated/')
TIDY_SOURCES = $(filter %.c,$(SOURCES))

all: $(BUILD)/CMakeCache.txt
	cmake --build $(BUILD) -j $(JOBS)

$(BUILD)/CMakeCache.txt:
	cmake -S . -B $(BUILD)

help:
	@echo 'make            build the programs in $(BUILD)/'
	@echo 'make install-deps   install what is missing with apt-get (as root)'
	@echo 'make demo       install, build and run one organisation (ORG=consortium|cooperative)'
	@echo 'make check      all checks and tests'
	@echo 'make bench      the load and experiment tools'
	@echo 'make format     format all sources'

install-deps:
	.ci/install-deps

format:
	clang-format -i $(SOURCES)

check-format:
	clang-format --dry-run -Werror $(SOURCES)

check-tidy: all
	printf '%s\n' $(TIDY_SOURCES) | xargs -P $(JOBS) -n 1 clang-tidy --quiet -p $(BUILD)

# The committed code is what the .x files make.
check-generated:
	folder=$$(mktemp -d) && src/wire/generate.sh $$folder \
	  && diff -r $$folder src/wire/generated && rm -r $$folder

check-build: all
	cd $(BUILD) && ctest --output-on-failure -j $(JOBS) -E "$$KNOWN_RED"

check-sanitize:
	CC=clang cmake -S . -B $(SANITIZE_BUILD) -DMULBERRY_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug -DCMAKE_C_FLAGS=-O1
	cmake --build $(SANITIZE_BUILD) -j $(JOBS)
	cd $(SANITIZE_BUILD) && ctest --output-on-failure -j $(JOBS) -E "$$KNOWN_RED"

check: install-deps
	.ci/check

demo: install-deps all
	test/functional/demo.sh $(BUILD) $(CURDIR) $(ORG)

bench: all
	bench/run.sh $(BUILD) $(CURDIR)

clean:
	rm -rf $(BUILD) $(SANITIZE_BUILD)

.PHONY: all help install-deps format check-format check-tidy check-generated check-build \
	check-sanitize check demo bench clean
