BUILD ?= build
JOBS ?= $(shell nproc)
CASE ?=

.PHONY: all install build test run bench check format fuzz soak
all: build

install:
	tools/install_packages.sh

build: install
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

# Builds and runs every test under CTest.
test: build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)
	tools/print_known_red.sh

# Starts stand-ins and daemons, runs the demonstration and stops all that it started.
run: build
	tools/demo.py --build $(BUILD)

# Prints one JSON object a line; CASE=name runs one case.
bench: build
	@tools/bench.py $(BUILD) $(CASE)

# Formatter, library dependency rule, awaited braced temporaries and linter.
check: install
	tools/check_format.sh
	tools/check_dependencies.py
	tools/check_coroutines_test.py
	tools/check_coroutines.py
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	tools/check_lint.py $(BUILD)

# Runs one fuzz target with libFuzzer for a minute; new inputs stay in the build folder.
FUZZ ?= config
fuzz: install
	CC=clang CXX=clang++ cmake -S . -B $(BUILD)-fuzz -G Ninja -DMASTICSTEP_LIBFUZZER=ON >/dev/null
	cmake --build $(BUILD)-fuzz --target fuzz_$(FUZZ) -j $(JOBS)
	mkdir -p $(BUILD)-fuzz/found_$(FUZZ)
	$(BUILD)-fuzz/fuzz/fuzz_$(FUZZ) -max_total_time=60 -seed=1 $(BUILD)-fuzz/found_$(FUZZ) fuzz/corpus/$(FUZZ)

# Plays soak runs (docs/SOAK.md) from a seed on, for some minutes; folders of failed runs stay in soak-runs.
SEED ?= 1
MINUTES ?= 3
soak: build
	tools/soak.py --build $(BUILD) --seed $(SEED) --minutes $(MINUTES) --jobs $(JOBS) --regressions -- --silence

format:
	git ls-files -co --exclude-standard -- '*.cpp' '*.hpp' ':!:*generated*' | xargs clang-format -i
