package placement

import (
	"fmt"
	"testing"
	"time"
)

const warmUpTime = 10 * time.Second

// sumOfQuotas returns how much all routers that have joined may send to an endpoint, as a fraction of its capacity. Routers
// that don't know each other use an estimate of their number.
func sumOfQuotas(routers []string, endpoint string, known bool, age time.Duration) float64 {
	var peers []string
	if known {
		peers = routers
	}
	sum := 0.0
	for _, r := range routers {
		if JoinedWarmUp(r, endpoint, peers, age, warmUpTime) {
			sum += WarmUpQuota(peers, len(routers), age, warmUpTime)
		}
	}
	return sum
}

// The quotas of all routers for an endpoint that warms up add up to at most its capacity, whether the routers know each
// other or use an estimate. If they know each other, the quotas add up to nearly the whole capacity from the start.
func TestWarmUpQuotasStayWithinCapacity(t *testing.T) {
	for _, known := range []bool{true, false} {
		for i := range 200 {
			endpoint, routers := fmt.Sprint("s", i), names("r", 0, 9+i%292)
			for age := time.Duration(0); age <= warmUpTime; age += 500 * time.Millisecond {
				sum := sumOfQuotas(routers, endpoint, known, age)
				if sum > 1.0001 || known && sum < 0.9 {
					t.Errorf("%d routers, known %v, %v after the start of %s: quotas add up to %.3f of its capacity",
						len(routers), known, age, endpoint, sum)
				}
			}
		}
	}
}
