#!/bin/sh
# Builds the stand-ins of the review. They use the Go standard library alone and are not part of the project's module.
cd "$(dirname "$0")/standin" || exit 2
mkdir -p ../../target || exit 2
CGO_ENABLED=0 GOPROXY=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standin .
