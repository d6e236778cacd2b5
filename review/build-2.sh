#!/bin/sh
# Builds what the scripts of the second review start: the router of a cluster, as make build does, and the stand-ins.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags cluster -o bin/hillknot-cluster ./cmd/hillknot
go build -o bin/review-stage ./review/stage
