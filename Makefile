# Thin wrapper around CMake; every target works on a fresh Debian machine.

BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = build-essential cmake pkg-config python3 curl \
	libevent-dev libzmq3-dev libglib2.0-dev libmsgpack-dev \
	libjansson-dev libinih-dev libcmocka-dev
LINT_PACKAGES = clang-format cppcheck

all: build

# Installs missing packages; needs no privileges when none is missing.
deps:
	@tools/install-packages $(PACKAGES)

lint-deps:
	@tools/install-packages $(LINT_PACKAGES)

build: deps
	cmake -S . -B $(BUILD) -DWERROR=ON >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

check: build
	tools/run-tests $(BUILD)

check-sanitize: deps
	cmake -S . -B $(BUILD)-sanitize -DWERROR=ON -DSANITIZE=ON >/dev/null
	cmake --build $(BUILD)-sanitize -j $(JOBS)
	tools/run-tests $(BUILD)-sanitize

# Runs each fuzz target with sanitizers; the same SEED repeats a run.
FUZZ_SECONDS ?= 20
SEED ?= 1
fuzz: deps
	cmake -S . -B $(BUILD)-sanitize -DWERROR=ON -DSANITIZE=ON >/dev/null
	cmake --build $(BUILD)-sanitize -j $(JOBS)
	for target in $(BUILD)-sanitize/fuzz_*; do \
		[ -x "$$target" ] && [ -f "$$target" ] || continue; \
		echo "$$target"; "$$target" $(FUZZ_SECONDS) $(SEED) || exit 1; \
	done

format-check: lint-deps
	git ls-files '*.c' '*.h' | xargs clang-format --dry-run -Werror

format: lint-deps
	git ls-files '*.c' '*.h' | xargs clang-format -i

lint: lint-deps build
	tools/lint $(BUILD)

demo: build
	tools/demo $(BUILD)

bench: build
	tools/bench $(BUILD)

capacity: build
	tools/capacity $(BUILD)

clean:
	rm -rf $(BUILD) $(BUILD)-sanitize

.PHONY: all deps lint-deps build check check-sanitize fuzz format-check \
	format lint demo bench capacity clean
