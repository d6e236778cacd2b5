# Build, test, lint and run hillknot.

.PHONY: build test lint run measure-fleet soak measure-clients measure-together measure-outlive run-fleet bench sites bench-sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/... && go build -tags cluster -o bin/hillknot-cluster ./cmd/hillknot

# The rules of revive and their exceptions stand in revive.toml and revive-test.toml.
lint:
	@unformatted=$$(gofmt -l . && go tool goimports -l .); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted" >&2; exit 1; fi
	go vet ./... && go vet -tags cluster ./...
	go tool staticcheck -checks all -tags cluster ./...
	go tool revive -config revive.toml $$(find . -name '*.go' ! -name '*_test.go')
	go tool revive -config revive-test.toml $$(find . -name '*_test.go')

# Runs the operators' build command as deploy/balancer.toml has it, then all tests. Those that KNOWN-RED.txt lists must fail,
# all others must pass.
test: lint
	sh -c "$$(sed -n 's/^build = "\(.*\)".*$$/\1/p' deploy/balancer.toml)"
	@readelf -d bin/hillknot | grep -q 'NEEDED.*libc\.so' || { echo "bin/hillknot is not linked dynamically" >&2; exit 1; }
	go test -count=1 -tags cluster -json ./... | go run ./tools/citest -known KNOWN-RED.txt

run: build
	@go build -o bin/toy ./example/toy
	@bin/toy & trap "kill $$!" EXIT; bin/hillknot -config example/config.json

# A cluster of three routers, the toy server and accounts with funds, on loopback; README, 'Try a fleet'.
run-fleet: build
	@go build -o bin/ ./example/toy ./example/fleet
	@bin/fleet -dir bin/three

# Measures the tables of docs/client.md, in about five minutes. Nothing else should run at the same time.
measure-clients: build
	bin/hillknot-loadtest clients

# Measures the tables of docs/fleet-talk.md, in about three minutes. Nothing else should run at the same time.
measure-together: build
	bin/hillknot-loadtest together

# Measures the tables of docs/takeover.md, in about twelve minutes. Nothing else should run at the same time.
measure-outlive: build
	bin/hillknot-loadtest outlive

# Measures one router with 200, 800 and 3,200 page caches against its bounds (docs/fleet.md), in about six minutes.
measure-fleet: build
	bin/hillknot-loadtest scale

# Two dozen router processes under overlapping faults, 50 seeds, in about seventeen minutes; docs/incidents. Nothing else should
# run at the same time. CI plays two short seeds with fewer routers (TestSoakKeepsInvariantsThroughOverlappingFaults).
soak: build
	bin/hillknot-loadtest soak

# The operators' bench, quick, on both deployments, one after the other: the standing fleet test on the first, then the second's
# days on real sockets. It needs their kit, which is not in this repository: make bench KIT=DIR WHY="...".
bench:
	@test -n "$(KIT)" -a -n "$(WHY)" || { echo "make bench KIT=DIR WHY=\"one sentence\"" >&2; exit 2; }
	$(KIT)/more/mass/bin/lbreal score $(KIT)/sites/south-scores.toml --quick --why "$(WHY)"
	$(KIT)/real/bin/lbreal score $(KIT)/users/listen-ng.toml --quick

# Copies the files that the operators' bench needs next to our own deployments in deploy/sites/; git ignores them.
sites:
	@test -n "$(KIT)" || { echo "make sites KIT=DIR" >&2; exit 2; }
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json deploy/sites/
	cat $(KIT)/users/unlock.txt $(KIT)/more/mass/unlock.txt > deploy/sites/unlock.txt

# The bench on both deployments of our own: the standing fleet test, quick, and the panel `brink` on two seeds.
bench-sites: sites
	@test -n "$(WHY)" || { echo "make bench-sites KIT=DIR WHY=\"one sentence\"" >&2; exit 2; }
	for s in tram-boards slide-archive; do \
	  $(KIT)/more/mass/bin/lbreal score deploy/sites/$$s.toml --quick --why "$(WHY)" && \
	  $(KIT)/more/mass/bin/lbreal score deploy/sites/$$s.toml --panel brink --seed 1 --why "$(WHY)" && \
	  $(KIT)/more/mass/bin/lbreal score deploy/sites/$$s.toml --panel brink --seed 2 --why "$(WHY)" || exit 1; done
