# Front of the CMake build. `make help` lists the targets.
BUILD ?= build
ASAN ?= build-asan
FUZZ ?= build-fuzz

.PHONY: all release test lint format asan fuzz fuzz-check capacity demo clean help

all: $(BUILD)/build.ninja
	cmake --build $(BUILD)

$(BUILD)/build.ninja: CMakeLists.txt cmake/libraries.cmake cmake/tests.cmake
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_C_COMPILER_LAUNCHER=ccache \
	    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache

## test: unit tests, scripted runs and proofs with fixed seeds
test: all
	tools/run_tests.sh $(BUILD)

## release: the build that deploy/system.toml names
release:
	cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DTESTS=OFF \
	    -DCMAKE_C_COMPILER_LAUNCHER=ccache
	cmake --build target -j4 --target acaciahinge

## asan: the tests built with AddressSanitizer and UBSan
asan:
	cmake -S . -B $(ASAN) -G Ninja -DSANITIZE=ON \
	    -DCMAKE_C_COMPILER_LAUNCHER=ccache \
	    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache
	cmake --build $(ASAN)
	tools/run_tests.sh $(ASAN)

## lint: formatter, linters and the check of includes
lint: all
	tools/lint.sh $(BUILD)

## format: rewrite the sources in the project's format
format:
	git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | \
	    xargs clang-format -i

$(FUZZ)/build.ninja: CMakeLists.txt cmake/libraries.cmake cmake/tests.cmake
	cmake -S . -B $(FUZZ) -G Ninja -DFUZZ=ON -DCMAKE_C_COMPILER=clang \
	    -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_C_COMPILER_LAUNCHER=ccache \
	    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache

## fuzz-check: the fuzzer over its corpus, a fixed seed and count
fuzz-check: $(FUZZ)/build.ninja
	cmake --build $(FUZZ) --target fuzz --target fuzz_http
	rm -rf $(FUZZ)/check $(FUZZ)/check-http
	mkdir -p $(FUZZ)/check $(FUZZ)/check-http
	$(FUZZ)/fuzz -seed=1 -runs=100000 -max_len=4096 -verbosity=0 \
	    $(FUZZ)/check test/fuzz/corpus
	$(FUZZ)/fuzz_http -seed=1 -runs=20000 -max_len=16384 -verbosity=0 \
	    -dict=test/fuzz/http.dict $(FUZZ)/check-http test/fuzz/corpus-http \
	    >$(FUZZ)/check-http.log 2>&1 || \
	    { tail -n 60 $(FUZZ)/check-http.log; exit 1; }
	@echo "fuzz-check: 100000 inputs, and 20000 over HTTP, no finding"

## fuzz: the same without an end; what it finds is kept in build-fuzz/found
fuzz: $(FUZZ)/build.ninja
	cmake --build $(FUZZ) --target fuzz
	mkdir -p $(FUZZ)/found
	$(FUZZ)/fuzz -max_len=65536 $(FUZZ)/found test/fuzz/corpus

## capacity: the slopes that docs/CAPACITY.md is worked out from
capacity: all
	for b in path_added path_calls path_tokens path_memory \
	    log_throughput log_failover state_size journal_rate \
	    route_choose rollout_cost spread; do \
		echo "== $$b"; $(BUILD)/test/bench --run $$b --seed 1; \
	done

## demo: a small deployment on loopback, each step checked
demo:
	tools/install.sh
	$(MAKE) all
	tools/demo.sh $(BUILD)

clean:
	rm -rf $(BUILD) $(ASAN) $(FUZZ)

help:
	@sed -n 's/^## //p' Makefile
