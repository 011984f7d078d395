# The commands of the README. Each installs what it needs and builds first.
BUILD ?= build
JOBS ?= $(shell nproc)
SOURCES = $(shell git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v '\.pb\.')
export CCACHE_BASEDIR = $(CURDIR)
export CCACHE_NOHASHDIR = 1
export TSAN_OPTIONS = suppressions=$(CURDIR)/src/cmake/thread-sanitizer.txt

.PHONY: help packages build test run bench soak capacity scenario format lint check-format

help: ## this list
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

packages: ## install the Debian packages
	@src/cmake/install-packages.sh

$(BUILD)/build.ninja:
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS)

build: packages $(BUILD)/build.ninja ## compile everything
	cmake --build $(BUILD) -j $(JOBS)

test: build ## run all tests
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

format: ## format the sources
	@clang-format -i $(SOURCES)

check-format:
	@clang-format --dry-run --Werror $(SOURCES)

lint: $(BUILD)/build.ninja ## run the linter on every source file
	@cmake $(BUILD) >/dev/null # new files need their compile commands
	@echo $(filter %.cpp,$(SOURCES)) | tr ' ' '\n' | xargs -P $(JOBS) -n 1 clang-tidy --quiet -p $(BUILD)

scenario: $(BUILD)/build.ninja ## run one scripted case with its trace: CASE=entry-pauses
	@cmake --build $(BUILD) -j $(JOBS) --target lycheestep-scenario >/dev/null
	@$(BUILD)/src/scenario/lycheestep-scenario --trace testsuite/$(CASE)/case.scenario

run: build ## start a local cell, submit one request of each kind, stop
	@src/cmake/run-example.sh $(BUILD)/src/lycheestep/lycheestep

SEED ?= $(shell date +%s)
MINUTES ?= 1
soak: $(BUILD)/build.ninja ## real hosts among faults, promises checked: SEED=7 MINUTES=3
	@cmake --build $(BUILD) -j $(JOBS) --target lycheestep >/dev/null
	@testsuite/soak/soak.py $(BUILD)/src/lycheestep/lycheestep --seed $(SEED) \
	  --seconds $$(($(MINUTES) * 60))

capacity: $(BUILD)/build.ninja ## measure what an entry host spends, for docs/CAPACITY.md
	@cmake --build $(BUILD) -j $(JOBS) --target lycheestep-capacity >/dev/null
	@$(BUILD)/src/scenario/lycheestep-capacity

bench: build ## run the benchmarks; writes build/bench.json and the plot
	$(BUILD)/src/bench/policy_bench $(BUILD)/bench.json
	src/bench/instructions.py $(BUILD)/src/bench/cost_probe $(BUILD)/bench.json
	src/bench/plot_flood.py $(BUILD)/bench.json $(BUILD)/flood.svg
	$(BUILD)/src/bench/hot_path_bench
