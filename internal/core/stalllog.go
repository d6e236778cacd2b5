package core

import (
	"time"

	"hillknot/internal/logging"
)

// stallLogInterval is the shortest time between two log lines on stalls.
const stallLogInterval = time.Second

// logStall logs the latest stall, unless another one was logged within stallLogInterval. The line tells a process that was
// stopped or starved from peers that were silent.
func (c *Core) logStall(now time.Duration) {
	if c.stallLoggedAt > 0 && now-c.stallLoggedAt < stallLogInterval {
		return
	}
	c.stallLoggedAt = now
	stalls := c.stalls.statistics()
	log.Warn("event loop stalled", logging.KeyDuration, stalls.Latest, "stalls", stalls.Count,
		"waiting_calls", c.queue.usage().Length)
}
