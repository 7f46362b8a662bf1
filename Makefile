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

# the api gateway of example/ with its toy; both end together
try: build
	go build -o bin/toy ./example/toy
	@bin/toy & toy=$$!; trap 'kill $$toy' EXIT; sleep 0.5; EDGE_CONFIG=example/config.json bin/otterseam
