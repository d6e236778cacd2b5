#!/bin/sh
# Builds the stand-ins of the cases, and the program for routers that share state, which the platform's build leaves out (the
# Makefile's build line has it as well). It needs no network where the project's modules are at hand, as its tests need them.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
(cd review/standin && go build -o ../bin/standin .)
rm -f review/bin/hillknot-cluster
go build -tags cluster -o review/bin/hillknot-cluster ./cmd/hillknot ||
  echo "review/build.sh: cases 2 and 3 will use bin/hillknot-cluster of make build" >&2
