package brain

import "testing"

// While the location's link is half full, a client that asks again gets what its cache holds and no fill: its first
// try has used up the time, and the fill would make requests late that are still in time.
func TestAskedAgainLeavesTheLinkToFirstTries(t *testing.T) {
	s := site()
	s.Direct, s.LinkKBps, s.SteadyWeights = false, []float64{0, 4000}, true // the link fits 4 transfers
	list := fleet()
	for i := range list {
		list[i].Weight = 20 // and the caches many
	}
	r := newRig(t, s, list)
	fills := func(again bool) (n int) {
		for range 30 {
			r.id++
			g := gets(r.do(Request{ID: r.id, Class: "page", Object: uint64(r.id), Left: 3 * sec, SizeKB: 100, Again: again}))
			if len(g) == 1 && g[0].Source != g[0].Node {
				n++
			}
		}
		return n
	}
	again := fills(true)
	first := fills(false)
	if again == 0 || first < again/2 {
		t.Errorf("%d fills of those who ask again, then %d of first tries", again, first)
	}
	if more := fills(true); more != 0 {
		t.Errorf("%d fills of those who ask again on a full link", more)
	}
}
