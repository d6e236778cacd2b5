package main

import (
	"strings"
	"testing"
	"time"
)

// An attempt for a request with an idempotency key carries the key, and so does each retry. The router once left out the key:
// endpoints could not recognize the retry, and those of another deployment did not accept the request at all.
func TestRetryCarriesIdempotencyKey(t *testing.T) {
	r := newTestRouter(t, 2).start()
	client := r.dial()
	const key = "0de535246940715291661ea01699314a"
	client.write(encodeRequest(1, "filed", "text", map[string]string{"unique": key}))
	first := r.nextAttempt()
	first.fail()
	retry := r.nextAttempt()
	for _, got := range []endpointMessage{first, retry} {
		if got.fields["token"] != key || got.body != "text" || got.requestID != "0000000000000001" {
			t.Errorf("unexpected attempt %+v", got)
		}
	}
	if first.endpoint == retry.endpoint {
		t.Error("the retry went to the same page cache")
	}
	retry.serve("filed")
	client.expect(1, "filed")
}

// Endpoints recognize an idempotency key for a limited time only. A retry that was decided within that time, but whose connection
// comes up after it, is not sent, because the request could take effect a second time.
func TestNoRetryAfterIdempotencyWindow(t *testing.T) {
	r := newTestRouter(t, 2).start()
	client := r.dial()
	client.request(1, "filed", map[string]string{"unique": "7a"})
	first := r.nextAttempt()
	other := r.endpoints[0]
	if first.endpoint == other {
		other = r.endpoints[1]
	}
	release := other.holdConnections()
	defer release()
	first.fail()
	time.Sleep(950 * time.Millisecond) // longer than the 900 ms in which endpoints recognize the key
	release()
	client.expect(1, "Throttled") // the client's retry would be recognized too, or the first was
	r.expectNoAttempt("after the idempotency window")
}

// The client's copy is current only if the endpoint's answer names this copy. An answer that names another copy, or none, is a
// fault.
func TestUnchangedAnswerMustNameTheClientsCopy(t *testing.T) {
	r := newTestRouter(t, 2).start()
	for id, line := range map[int]string{1: "KEEP version=other,res=cached 0\r\n\r\n", 2: "KEEP res=cached 0\r\n\r\n"} {
		client := r.dial()
		client.request(id, "page", map[string]string{"got": "mine"})
		r.nextAttempt().reply("%s", line)
		retry := r.nextAttempt() // the class is idempotent
		retry.reply("KEEP version=mine,res=cached 0\r\n\r\n")
		if fields := client.expect(id, ""); fields["ok304"] != "1" {
			t.Errorf("%q: the client's answer has the fields %v", line, fields)
		}
	}
}

// A damaged or missing answer ends the attempt. Only an idempotent request is retried, at another endpoint and with the same
// idempotency key if it has one.
func TestDamagedAnswerEndsTheAttempt(t *testing.T) {
	for name, damage := range map[string]func(endpointMessage){
		"reset":         resetConnection,
		"closed":        func(a endpointMessage) { a.conn.Close() },
		"garbled":       func(a endpointMessage) { a.reply("\x00\xff\r\n") },
		"cut":           func(a endpointMessage) { a.reply("DONE res=cached 100\r\nhalf"); a.conn.Close() },
		"wrong length":  func(a endpointMessage) { a.reply("DONE res=cached 3\r\nlonger\r\n") },
		"3 GB":          func(a endpointMessage) { a.reply("DONE res=cached 3221225472\r\n%s", strings.Repeat("x", 1<<20)) },
		"line too long": func(a endpointMessage) { a.reply("DONE %s", strings.Repeat("x", 1<<16)) },
		"failed":        func(a endpointMessage) { a.fail() },
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			r := newTestRouter(t, 2).start()
			client := r.dial()
			for id, class := range map[int]string{1: "order", 2: "filed", 3: "page"} {
				client.request(id, class, map[string]string{"unique": "7a"})
				first := r.nextAttempt()
				damage(first)
				if class == "order" {
					client.expect(id, "Failed")
					continue
				}
				retry := r.nextAttempt()
				sameRequest := retry.requestID == first.requestID && retry.fields["token"] == first.fields["token"]
				if retry.endpoint == first.endpoint || !sameRequest {
					t.Errorf("%s: first attempt %+v, retry %+v", class, first, retry)
				}
				retry.serve("x")
				client.expect(id, "x")
			}
			r.expectNoAttempt("after all requests ended")
		})
	}
}

// A second answer, a late answer and an answer with an unknown id end no other request.
func TestStrayAnswersEndNoOtherRequest(t *testing.T) {
	r := newTestRouter(t, 1).start()
	client := r.dial()
	client.request(1, "order", nil)
	first := r.nextAttempt()
	first.serve("first")
	first.serve("second")
	client.expect(1, "first")
	client.request(2, "order", nil)
	second := r.nextAttempt()
	second.requestID = first.requestID
	second.serve("late")
	second.requestID = "00000000000000ff"
	second.serve("for an unknown id")
	client.expectReady(3) // the second request has got no answer
	second.requestID = "0000000000000002"
	second.serve("its own")
	client.expect(2, "its own")
}
