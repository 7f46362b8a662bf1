.PHONY: build test race lint fuzz run try

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

# needs EDGE_CONFIG
run: build
	GODEBUG=schedtrace=2000000000 bin/otterseam

# the api gateway with the laboratory's stand-ins for two hosts, the counter and discovery; all end together
try: build
	@rm -rf bin/try
	@bin/otterlab standin try --dir bin/try --listen 127.0.0.1:8443 & lab=$$!; trap 'kill $$lab' EXIT; \
	while [ ! -s bin/try/edge-0.json ]; do sleep 0.1; done; sleep 0.2; EDGE_CONFIG=bin/try/edge-0.json bin/otterseam
