BUILD ?= build
JOBS ?= $(shell nproc)
CASE ?=

.PHONY: all install build test run bench check format fuzz
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
	@$(BUILD)/bin/masticstep_bench $(CASE)

# Formatter, library dependency rule and linter.
check: install
	tools/check_format.sh
	tools/check_dependencies.py
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	tools/check_lint.sh $(BUILD)

format:
	git ls-files -co --exclude-standard -- '*.cpp' '*.hpp' ':!:*generated*' | xargs clang-format -i
