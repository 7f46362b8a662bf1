.PHONY: build test race lint fuzz run try hunt

build:
	@sh -ec "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

test:
	go test ./...

race:
	go test -race ./...

lint:
	@bad=$$(gofmt -l $$(go list -f '{{.Dir}}' ./...)); [ -z "$$bad" ] || { echo "gofmt: $$bad"; exit 1; }
	go vet ./...

fuzz:
	go test -fuzz FuzzMessage -fuzztime 60s ./http1

# faults between real processes at moments drawn by seeds; SEED and SEEDS may be given
SEED ?= 1
SEEDS ?= 20
hunt: build
	bin/otterlab fleet hunt --seed $(SEED) --seeds $(SEEDS) --env EDGE_OPERATOR=$(CURDIR)/deploy/operator.json

# needs EDGE_CONFIG
run: build
	GODEBUG=schedtrace=2000000000 bin/otterseam

# the api gateway with the laboratory's stand-ins for two hosts, the counter and discovery; all end together
try: build
	@rm -rf bin/try
	@bin/otterlab standin try --dir bin/try --listen 127.0.0.1:8443 & lab=$$!; trap 'kill $$lab' EXIT; \
	while [ ! -s bin/try/edge-0.json ]; do sleep 0.1; done; sleep 0.2; EDGE_CONFIG=bin/try/edge-0.json bin/otterseam
