# geraniumpin: targets to build, test and measure. See README.md.

BUILD ?= build
JOBS ?= $(shell nproc)

PACKAGES = g++ cmake ninja-build ccache pkg-config make clang-format clang-tidy \
  libh2o-evloop-dev libzmq3-dev cppzmq-dev libprotobuf-dev libcli11-dev libgoogle-glog-dev \
  libexpected-dev nlohmann-json3-dev libvalijson-dev libboost-dev libboost-test-dev libssl-dev \
  libxxhash-dev liblua5.4-dev zlib1g-dev

.PHONY: setup print-packages build demo test bench format lint check-core check-platform \
  deploy-build clean

print-packages:
	@echo $(PACKAGES)

setup:
	@if dpkg -s $(PACKAGES) >/dev/null 2>&1; then true; else \
	  apt-get update -q && DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
	  --no-install-recommends $(PACKAGES); fi

build: setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD) -j $(JOBS)

demo: build
	@$(BUILD)/tests/scenario-runner --programs $(BUILD) --library tests/scenarios examples/demo.lua

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

bench: build
	@$(BUILD)/tests/bench-core
	@$(BUILD)/tests/scenario-runner --programs $(BUILD) --library tests/scenarios \
	  tests/scenarios/bench.lua
	@$(BUILD)/tests/scenario-runner --programs $(BUILD) --library tests/scenarios \
	  tests/scenarios/slopes.lua

SOURCES = $(shell git ls-files '*.hpp' '*.cpp' | grep -v /generated/)

format: setup
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@git ls-files '*.cpp' | xargs -P $(JOBS) -n 2 clang-tidy --quiet -p $(BUILD)

check-core:
	@if grep -rnE '#include [<"](h2o|zmq|google/protobuf|glog|nlohmann|.*[.]pb[.]h|.*adapters/)' \
	  include src/request src/connection src/version src/process; then \
	  echo "core files must not include transports or encoders"; exit 1; fi

# Names of the users' platform may occur in its adapter only.
check-platform:
	@if grep -rnE 'kv-(key|range|watch)|op/(config|evacuate)|weighted_services|cold_remaining|local_app|geraniumpin-(tenant|expected-instance|not-executed|response-seal|caller-service)' \
	  include src daemon cli proto; then \
	  echo "names of the users' platform belong to platform/"; exit 1; fi
	@if [ "$$(cat platform/*.hpp platform/*.cpp | wc -l)" -ge 900 ]; then \
	  echo "platform/ must stay below 900 lines"; exit 1; fi

# The build of deploy/system.toml.
deploy-build: setup
	@cmake -S . -B $(BUILD)-deploy -G Ninja -DCMAKE_BUILD_TYPE=Release -DGERANIUMPIN_DEPLOY=ON >/dev/null
	@ninja -C $(BUILD)-deploy -j $(JOBS)

clean:
	rm -rf $(BUILD) $(BUILD)-deploy
