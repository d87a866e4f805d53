MAKEFLAGS += --no-print-directory
BUILD ?= build
DEPS = libglib2.0-dev libsoup-3.0-dev libjson-glib-dev libmsgpack-dev \
  libhttp-parser-dev \
  liblog4c-dev libcunit1-dev pkg-config cmake gcc clang-format clang-tidy

SECONDS ?= 60
SEED ?= 1

.PHONY: all deps check demo bench bench-policy bench-config bench-peers explore format lint \
  format-check sanitize clean

all: $(BUILD)/Makefile
	cmake --build $(BUILD) -j 8

$(BUILD)/Makefile:
	cmake -S . -B $(BUILD) -DJW_WERROR=ON > /dev/null

deps:
	sh tools/deps.sh $(DEPS)

check: all
	sh tools/check.sh $(BUILD)

demo: deps all
	$(BUILD)/tests/proc/demo

bench: all
	$(BUILD)/bench/relay/bench_relay

bench-policy: all
	$(BUILD)/bench/policy/bench_policy
	$(BUILD)/bench/policy/bench_proxy_policy $(FLEET)

bench-config: all
	$(BUILD)/bench/config/bench_config

bench-peers: all
	$(BUILD)/bench/peers/bench_peers

explore: all
	$(BUILD)/tests/explore/explore_exchange --seconds $(SECONDS) --seed $(SEED)

format:
	# clang-format needs a second pass to align trailing comments.
	for pass in 1 2; do git ls-files '*.c' '*.h' | xargs clang-format -i; done

format-check:
	git ls-files '*.c' '*.h' | xargs clang-format --dry-run -Werror

lint: all
	sh tools/names.sh
	sh tools/lint.sh $(BUILD)

sanitize:
	cmake -S . -B $(BUILD)-asan -DJW_SANITIZE=ON -DJW_WERROR=ON > /dev/null
	cmake --build $(BUILD)-asan -j 8
	sh tools/check.sh $(BUILD)-asan unit

clean:
	rm -rf $(BUILD) $(BUILD)-asan
