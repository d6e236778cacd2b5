package state

import (
	"errors"
	"testing"
	"time"
)

// A parsed message that is encoded and parsed again is the same, and ReceiveMessage accepts any message without a panic.
func FuzzMessage(f *testing.F) {
	f.Add(Message{Kind: KindHealthEvidence, From: "a", Process: 1 << 60, Key: "s-1", Sequence: 7, Unhealthy: true,
		ValidFor: time.Second}.Append(nil))
	f.Add([]byte{1, 0, 200, 200})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, rest, err := ParseMessage(b)
		if err != nil {
			return
		}
		if again, _, err := ParseMessage(m.Append(nil)); err != nil || again != m || len(rest) > len(b)-4 {
			t.Errorf("%+v was parsed again as %+v, %v", m, again, err)
		}
		s := newState(t, Defaults("self", 5, 3))
		s.OpenBudget(0, m.Key, BudgetLimits{Rate: 10, Burst: 10}, 0)
		s.ReceiveMessage(time.Second, m)
	})
}

func TestParseRejectsMalformedMessages(t *testing.T) {
	valid := Message{Kind: KindLeaseRequest, From: "a", Process: 1, Key: "b", Sequence: 2, Shares: 3}
	for name, data := range map[string][]byte{
		"empty":           nil,
		"cut short":       valid.Append(nil)[:7],
		"unknown kind":    {9, 0, 0, 0, 0, 0, 0, 0, 0},
		"no kind":         {0, 0, 0, 0, 0, 0, 0, 0, 0},
		"flag over one":   {1, 2, 0, 0, 0, 0, 0, 0, 0},
		"too many shares": Message{Kind: KindLeaseRequest, Shares: maxShares + 1}.Append(nil),
		"valid too long":  Message{Kind: KindHealthEvidence, ValidFor: maxValidFor + 1}.Append(nil),
	} {
		if _, _, err := ParseMessage(data); !errors.Is(err, ErrMalformedMessage) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}
