package core

import (
	"errors"
	"testing"
	"time"

	"hillknot/balancer"
)

// fakeCredit is a Credit that returns the error that the test sets, and counts its calls.
type fakeCredit struct {
	err               error
	charged, released int
}

func (f *fakeCredit) Reserve(*Request) (Reservation, error) { return 1, f.err }

func (f *fakeCredit) Charge(Reservation, int) { f.charged++ }

func (f *fakeCredit) Release(Reservation) { f.released++ }

func (f *fakeCredit) RetryAfter(error) (time.Duration, string) { return second, "funds-out" }

func (f *fakeCredit) Flush() {}

func (f *fakeCredit) Metrics() []Metric { return nil }

func (f *fakeCredit) Close() {}

// A request that was served or may have run is charged once. A request that never ran is not charged, and a request
// that can't be paid for is rejected at once.
func TestCreditIsSettledOnce(t *testing.T) {
	h := newHarness(t)
	credit := &fakeCredit{}
	h.core.SetCredit(credit)
	h.submit("page", second)
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.OK, Body: []byte("x")})
	if credit.charged != 1 || credit.released != 0 {
		t.Errorf("served: %+v", credit)
	}
	h.submit("order", second)
	h.finish(h.outstanding[0], AttemptResult{Status: balancer.Reset}) // it may have run
	if credit.charged != 2 || credit.released != 0 {
		t.Errorf("may have run: %+v", credit)
	}
	id := h.submit("order", second)
	h.core.CancelRequest(id)
	if credit.charged != 3 {
		t.Errorf("cancelled while its attempt was open: %+v", credit)
	}
	h.submit("order", second)
	for len(h.outstanding) > 0 {
		h.finish(h.outstanding[len(h.outstanding)-1], AttemptResult{Status: balancer.Rejected})
	}
	if credit.released != 1 {
		t.Errorf("never ran: %+v", credit)
	}
	credit.err, h.answers = errors.New("out"), nil
	h.submit("page", second)
	h.wantOneAnswer("out of funds", Rejected)
	if a := h.answers[0]; a.RetryAfter != second || a.Reason != "funds-out" || len(h.outstanding) > 0 {
		t.Errorf("out of funds: answer %+v", a)
	}
}
