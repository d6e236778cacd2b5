# Build, test, lint and run hillknot.

.PHONY: build test lint run measure-clients

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

lint:
	@unformatted=$$(gofmt -l .); if [ -n "$$unformatted" ]; then echo "not gofmt-ed: $$unformatted" >&2; exit 1; fi
	go vet ./...

# The operators' build line is tested as it stands in the deploy file.
test: lint
	sh -c "$$(sed -n 's/^build = "\(.*\)".*$$/\1/p' deploy/balancer.toml)"
	@readelf -d bin/hillknot | grep -q 'NEEDED.*libc\.so' || { echo "bin/hillknot is not linked dynamically" >&2; exit 1; }
	go test -count=1 ./...

run: build
	@go build -o bin/toy ./example/toy
	@bin/toy & trap "kill $$!" EXIT; bin/hillknot -config example/config.json

# The tables of docs/client.md, in some five minutes. Nothing else should run beside it.
measure-clients: build
	bin/hillknot-lab clients
