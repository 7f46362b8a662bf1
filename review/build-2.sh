#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-stand-2 .
