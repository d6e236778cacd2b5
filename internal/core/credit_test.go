package core

import (
	"errors"
	"testing"
	"time"

	"hillknot/balancer"
)

// fakeCredit answers as the test sets it, and counts its calls.
type fakeCredit struct {
	err               error
	charged, released int
}

func (p *fakeCredit) Reserve(*Request) (Reservation, error) { return 1, p.err }

func (p *fakeCredit) Charge(Reservation, int) { p.charged++ }

func (p *fakeCredit) Release(Reservation) { p.released++ }

func (p *fakeCredit) RetryAfter(error) (time.Duration, string) { return second, "funds-out" }

func (p *fakeCredit) Flush() {}

func (p *fakeCredit) Metrics() []Metric { return nil }

func (p *fakeCredit) Close() {}

// What was served or may have run is charged, once; what never ran is not; what can't be paid for is rejected at
// once.
func TestCreditIsSettledOnce(t *testing.T) {
	h := newHarness(t)
	p := &fakeCredit{}
	h.core.SetCredit(p)
	h.submit("page", second)
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK, Body: []byte("x")})
	if p.charged != 1 || p.released != 0 {
		t.Errorf("served: %+v", p)
	}
	h.submit("order", second)
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.Reset}) // it may have run
	if p.charged != 2 || p.released != 0 {
		t.Errorf("may have run: %+v", p)
	}
	id := h.submit("order", second)
	h.core.CancelRequest(id)
	if p.charged != 3 {
		t.Errorf("cancelled while its attempt was open: %+v", p)
	}
	h.submit("order", second)
	for len(h.outstanding) > 0 {
		h.finish(h.outstanding[len(h.outstanding)-1], AttemptResult{Status: balancer.Rejected})
	}
	if p.released != 1 {
		t.Errorf("never ran: %+v", p)
	}
	p.err, h.answers = errors.New("out"), nil
	h.submit("page", second)
	h.wantOneAnswer("out of funds", Rejected)
	if a := h.answers[0]; a.RetryAfter != second || a.Reason != "funds-out" || len(h.outstanding) > 0 {
		t.Errorf("answered %+v", a)
	}
}
