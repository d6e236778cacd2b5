package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	fragmentRounds         = 4
	requestsPerRound       = 20   // per client, because at most 32 requests may be open on a connection
	firstHealthID          = 9000 // ids from here on belong to health requests
	healthRequestsPerRound = 40
	maxFragmentBytes       = 4000
	maxTaggedBodyBytes     = 3000
	clientIDMultiplier     = 1000 // the thousands of an id are the index of the client
)

// The requests of two clients arrive interleaved, in fragments of any size, in buffers that are reused. Endpoints get each
// request with its own idempotency key and body, and each client gets its own answers.
func TestFragmentedRequestsAreNotMixedUp(t *testing.T) {
	r := newTestRouter(t, 2)
	var release []func() // until they are called, requests wait in the router while more input arrives
	for _, endpoint := range r.endpoints {
		release = append(release, endpoint.holdConnections())
	}
	r.start()
	random := rand.New(rand.NewPCG(5, 5))
	clients := []*testClient{r.dial(), r.dial()}
	stop, stopped := make(chan bool), make(chan bool)
	go func() {
		defer close(stopped)
		r.handleAttempts(stop, r.serveTagged)
	}()
	for round := range fragmentRounds {
		sendFragments(random, clients, encodeTaggedRequests(random, len(clients), round))
		for i, client := range clients {
			for n := range healthRequestsPerRound { // so that the buffers are reused
				id := firstHealthID + round*healthRequestsPerRound + n // earlier ones may have no answer yet
				client.write(encodeRequest(id, "health", strings.Repeat("z", 3000), nil))
			}
			release[i]()
		}
		for i, client := range clients {
			client.expectOwnAnswers(i, round == 0) // in the first round requests may wait too long and be rejected
		}
	}
	close(stop)
	<-stopped
}

// encodeTaggedRequests returns the requests of each client in a round. The idempotency key and the body of a request contain
// its id.
func encodeTaggedRequests(random *rand.Rand, clients, round int) [][]byte {
	encoded := make([][]byte, clients)
	for n := range requestsPerRound {
		for i := range encoded {
			id := clientIDMultiplier*i + round*requestsPerRound + n + 1
			body := fmt.Sprintf("%d-%s", id, strings.Repeat(string(rune('a'+i)), random.IntN(maxTaggedBodyBytes)))
			fields := map[string]string{"unique": fmt.Sprint("k", id), "limit": "3000"}
			encoded[i] = append(encoded[i], encodeRequest(id, "filed", body, fields)...)
		}
	}
	return encoded
}

// sendFragments sends the pending bytes of two clients in fragments of random sizes, in a random order and with pauses.
func sendFragments(random *rand.Rand, clients []*testClient, pending [][]byte) {
	for len(pending[0])+len(pending[1]) > 0 {
		i := random.IntN(2)
		n := min(len(pending[i]), 1+random.IntN(maxFragmentBytes))
		clients[i].write(pending[i][:n])
		pending[i] = pending[i][n:]
		if random.IntN(8) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// serveTagged serves an attempt. It checks that the key, the id and the body of the attempt belong together.
func (r *testRouter) serveTagged(attempt endpointMessage) {
	id, _, _ := strings.Cut(attempt.body, "-")
	n, err := strconv.Atoi(id)
	if err != nil {
		r.t.Errorf("the body %.30q of an attempt names no request", attempt.body)
	}
	if attempt.fields["token"] != "k"+id || attempt.requestID != fmt.Sprintf("%016x", n) {
		r.t.Errorf("the attempt for %s has the key %s and the body of %s", attempt.requestID, attempt.fields["token"], id)
	}
	attempt.serve("of " + attempt.body)
}

// expectOwnAnswers reads the answers of a round. Each must answer a request of the client with this index. Health answers are
// skipped.
func (c *testClient) expectOwnAnswers(index int, mayBeRejected bool) {
	c.t.Helper()
	for n := 0; n < requestsPerRound; {
		got, err := c.read()
		if got.id >= firstHealthID {
			continue
		}
		n++
		if mayBeRejected && got.errorCode == "Throttled" {
			continue
		}
		own := strings.HasPrefix(got.body, fmt.Sprintf("of %d-", got.id)) && got.id/clientIDMultiplier == index
		if err != nil || got.errorCode != "" || !own {
			c.t.Fatalf("client %d: answer to %d: %q %.30q, %v", index, got.id, got.errorCode, got.body, err)
		}
	}
}
