.PHONY: build test race misbehavior soak-crowds soak-floods lint format fuzz run try try-tier soak hunt try-copies hunt-copies hunt-tier sites

# Builds the programs of the gateway as its deploy file says.
build:
	@sh -ec "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# Runs all tests.
test:
	go test ./...

# Runs the tests of packages with goroutines under the race detector.
race:
	go test -race -count=1 ./gateway/server ./gateway/http1 ./gateway/policy ./cmd/otterseam ./quotastore/server ./quotastore/protocol ./quotastore/client ./harness/netproxy ./harness/sockets ./tier/...

# Runs crowds of clients that don't behave against the programs, one test at a time.
misbehavior:
	MISBEHAVIOR_TESTS=1 go test -count=1 -v ./harness/misbehavior

# Runs the linter of tools/go.mod, vet and staticcheck.
lint: bin/golangci-lint
	bin/golangci-lint run ./...
	go vet ./...
	go tool staticcheck ./...

# Formats the sources.
format: bin/golangci-lint
	bin/golangci-lint fmt ./...

bin/golangci-lint: tools/go.mod tools/go.sum
	go build -C tools -o ../bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

# Runs each fuzz test for a minute.
fuzz:
	go test -fuzz FuzzMessage -fuzztime 60s ./gateway/http1
	go test -fuzz FuzzRestore -fuzztime 60s ./quotastore/statemachine
	go test -fuzz FuzzDecodeBatch -fuzztime 60s ./quotastore/statemachine
	go test -fuzz FuzzFrame -fuzztime 60s ./quotastore/replication

# Runs a script of faults between real processes whose moments are drawn from seeds: SEEDS of them, from SEED on.
SEED ?= 1
SEEDS ?= 20
hunt: build
	bin/otterseam-sim fleet hunt --seed $(SEED) --seeds $(SEEDS) --env EDGE_OPERATOR=$(CURDIR)/deploy/operator.json

# Runs the api gateway. EDGE_CONFIG must name its configuration file.
run: build
	GODEBUG=schedtrace=2000000000 bin/otterseam

# Runs the api gateway with stand-ins for two hosts, the counter and discovery on loopback. All end together.
try: build
	@rm -rf bin/try
	@bin/otterseam-sim standin try --dir bin/try --listen 127.0.0.1:8443 & standins=$$!; trap 'kill $$standins' EXIT; \
	while [ ! -s bin/try/edge-0.json ]; do sleep 0.1; done; sleep 0.2; EDGE_CONFIG=bin/try/edge-0.json bin/otterseam

# Runs a whole serving tier on loopback with stand-in hosts and a configuration, and prints how to send it a turn. Ctrl-C ends all.
try-tier:
	@sh -ec "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"
	@go build -o target/localtier ./cmd/localtier && target/localtier

# Simulates replica groups of the tier on a network and disks that fail, and turns that outlive their chains, over 100 times SEEDS seeds.
# Not part of CI.
hunt-tier:
	TIER_SEEDS=$(SEEDS)00 go test -count=1 ./tier/replica ./tier/programs

# Runs the tier as processes under overlapping faults and turns that outlive their chains, over SEEDS seeds from SEED on, four at a time;
# every tenth has 132 processes. Not part of CI, which plays one seed.
soak:
	SOAK_SEED=$(SEED) SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=60 SOAK_LARGE=10 go test -count=1 -v -timeout 0 -parallel 4 ./harness/tiersoak

# The same with crowds of clients that don't behave, and limits that the processes have to stay within. Not part of CI, which plays one seed.
soak-crowds:
	SOAK_SEED=$(SEED) SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=40 SOAK_LARGE=10 go test -count=1 -v -timeout 0 -parallel 3 -run Crowds ./harness/tiersoak

# The same with hosts that send heads, bodies and events without end. Not part of CI, which plays one seed.
soak-floods:
	SOAK_SEED=$(SEED) SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=30 SOAK_LARGE=10 go test -count=1 -v -timeout 0 -parallel 3 -run Flooding ./harness/tiersoak

# Simulates replicas of the quota store on a network that fails, over 100 times SEEDS seeds from SEED on. Not part of CI.
hunt-copies: build
	bin/otterseam-sim keepers --seed $(SEED) --seeds $(SEEDS)00

# Runs three processes of the quota store and loads them for 45 s. Kill one by hand (its process id is printed): at the end no add
# that was answered is missing from the totals.
try-copies: build
	@rm -rf bin/try-copies; mkdir -p bin/try-copies; pids=; trap 'kill $$pids 2>/dev/null' EXIT; \
	for n in keeper-a keeper-b keeper-c; do \
	bin/otterseam-quotastore run --list deploy/keepers.json --name $$n --dir bin/try-copies/$$n 2>bin/try-copies/$$n.log & \
	pids="$$pids $$!"; echo "$$n: kill -9 $$!"; done; \
	bin/otterseam-quotastore found --list deploy/keepers.json && \
	bin/otterseam-sim adds 127.0.0.1:6401 127.0.0.1:6402 127.0.0.1:6403 --rate 500 --length 45s --names 200 --check; \
	bin/otterseam-quotastore status --list deploy/keepers.json | head -5

# Copies the name files of the benches beside the sites in deploy/sites, without which the benches don't play them. KIT is the
# folder in which the benches came; it is no part of this repository.
SITE_FILES = real.json wire.json unlock.txt
sites:
	@[ -d "$(KIT)/sites" ] || { echo "make sites KIT=DIR: DIR/sites has to hold $(SITE_FILES); there is no folder \"$(KIT)/sites\""; exit 1; }
	@missing=; for f in $(SITE_FILES); do [ -f "$(KIT)/sites/$$f" ] || missing="$$missing $$f"; done; \
	[ -z "$$missing" ] || { echo "make sites: missing in $(KIT)/sites:$$missing"; exit 1; }
	@for f in $(SITE_FILES); do cp "$(KIT)/sites/$$f" deploy/sites/; done
