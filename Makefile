.PHONY: build test race lint format fuzz run try try-tier hunt try-copies hunt-copies hunt-tier sites

build:
	@sh -ec "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

test:
	go test ./...

race:
	go test -race -count=1 ./gateway/server ./gateway/http1 ./gateway/policy ./cmd/otterseam ./quotastore/server ./quotastore/protocol ./quotastore/client ./harness/netproxy ./harness/sockets ./tier/...

lint: bin/golangci-lint
	bin/golangci-lint run ./...
	go vet ./...
	go tool staticcheck ./...

format: bin/golangci-lint
	bin/golangci-lint fmt ./...

bin/golangci-lint: tools/go.mod tools/go.sum
	go build -C tools -o ../bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

fuzz:
	go test -fuzz FuzzMessage -fuzztime 60s ./gateway/http1
	go test -fuzz FuzzRestore -fuzztime 60s ./quotastore/statemachine
	go test -fuzz FuzzDecodeBatch -fuzztime 60s ./quotastore/statemachine
	go test -fuzz FuzzFrame -fuzztime 60s ./quotastore/replication

# faults between real processes at moments drawn by seeds; SEED and SEEDS may be given
SEED ?= 1
SEEDS ?= 20
hunt: build
	bin/otterseam-sim fleet hunt --seed $(SEED) --seeds $(SEEDS) --env EDGE_OPERATOR=$(CURDIR)/deploy/operator.json

# needs EDGE_CONFIG
run: build
	GODEBUG=schedtrace=2000000000 bin/otterseam

# the api gateway with the laboratory's stand-ins for two hosts, the counter and discovery; all end together
try: build
	@rm -rf bin/try
	@bin/otterseam-sim standin try --dir bin/try --listen 127.0.0.1:8443 & lab=$$!; trap 'kill $$lab' EXIT; \
	while [ ! -s bin/try/edge-0.json ]; do sleep 0.1; done; sleep 0.2; EDGE_CONFIG=bin/try/edge-0.json bin/otterseam

# the whole serving tier on loopback with stand-in hosts and a configuration; says how to ask it for a turn; Ctrl-C ends all
try-tier:
	@sh -ec "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"
	@go build -o target/localtier ./cmd/localtier && target/localtier

# replica groups of the tier on a simulated network and disks over seeds; not in CI
hunt-tier:
	TIER_SEEDS=$(SEEDS)00 go test -count=1 ./tier/replica

# keepers on a simulated network over seeds, on all cores; not in CI
hunt-copies: build
	bin/otterseam-sim keepers --seed $(SEED) --seeds $(SEEDS)00

# three keepers, and load on their doors for a minute; kill one by hand (the lines say its number) and see that no add that was
# answered is missing from the totals at the end
try-copies: build
	@rm -rf bin/try-copies; mkdir -p bin/try-copies; pids=; trap 'kill $$pids 2>/dev/null' EXIT; \
	for n in keeper-a keeper-b keeper-c; do \
	bin/otterseam-quotastore run --list deploy/keepers.json --name $$n --dir bin/try-copies/$$n 2>bin/try-copies/$$n.log & \
	pids="$$pids $$!"; echo "$$n: kill -9 $$!"; done; \
	bin/otterseam-quotastore found --list deploy/keepers.json && \
	bin/otterseam-sim adds 127.0.0.1:6401 127.0.0.1:6402 127.0.0.1:6403 --rate 500 --length 45s --names 200 --check; \
	bin/otterseam-quotastore status --list deploy/keepers.json | head -5

# lays the benches' names beside the sites in deploy/sites, without which they don't play them; KIT is the folder the benches
# came in, which is no part of this repository
SITE_FILES = real.json wire.json unlock.txt
sites:
	@[ -d "$(KIT)/sites" ] || { echo "make sites KIT=DIR: DIR/sites has to hold $(SITE_FILES); there is no folder \"$(KIT)/sites\""; exit 1; }
	@missing=; for f in $(SITE_FILES); do [ -f "$(KIT)/sites/$$f" ] || missing="$$missing $$f"; done; \
	[ -z "$$missing" ] || { echo "make sites: missing in $(KIT)/sites:$$missing"; exit 1; }
	@for f in $(SITE_FILES); do cp "$(KIT)/sites/$$f" deploy/sites/; done
