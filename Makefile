# The one source of truth for build tasks. `make demo` and `make test` do all the
# set-up that they need.
GO ?= go

.PHONY: build demo up test race lint model bench capacity soak edge-soak mutants fuzz clean

build:
	@mkdir -p bin
	$(GO) build -o bin/ . ./cmd/standin ./cmd/fleet

demo: build
	./bin/fleet demo

up: build
	./bin/fleet up

test:
	$(GO) test $(if $(SKIP),-skip '$(SKIP)') ./...

# All tests but the end-to-end ones with the race detector, the short soak's programs too.
race:
	GOFLAGS=-race $(GO) test -timeout 20m $(if $(SKIP),-skip '$(SKIP)') $$($(GO) list ./... | grep -v trial/e2e)

lint:
	@test -z "$$(gofmt -l .)" || (echo "gofmt needed:"; gofmt -l .; exit 1)
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# The model checker comes from Debian's packages; it needs gcc.
model:
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin >/dev/null)
	model/check.sh

# Long runs, not part of the CI.
SEED ?= 1
MINUTES ?= 10

soak: build
	./bin/fleet soak --seed $(SEED) --last $(MINUTES)m

# The same for the program on the users' platform.
LAST ?= 60s

edge-soak: build
	./bin/fleet edge-soak --seed $(SEED) --last $(LAST)

bench: build
	./bin/fleet bench

capacity: build
	./bin/fleet capacity

# Shows that the tests can fail.
mutants:
	internal/trial/mutants/run.sh

# A fuzz target for each parser of bytes from outside.
FUZZTIME ?= 1m
FUZZ = internal/base/jsonwalk/FuzzEachElement internal/config/document/FuzzParse internal/decision/generation/FuzzParseEventID internal/backend/sse/FuzzNext \
	platform/FuzzDecodeConfig platform/FuzzDecodeServer platform/FuzzDecodeRequest platform/kv/FuzzRange internal/router/gossip/FuzzReceive internal/router/placing/FuzzReceive internal/router/gossip/FuzzDecodeHost

fuzz:
	@for t in $(FUZZ); do $(GO) test ./$$(dirname $$t) -run '^$$' -fuzz "^$$(basename $$t)$$" -fuzztime $(FUZZTIME) -parallel 2 || exit 1; done

clean:
	rm -rf bin out
