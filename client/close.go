package client

import (
	"context"
	"fmt"
)

// Close ends the client; from then on Do returns ErrClosed. Close waits until the open requests have ended or ctx has
// ended, cancels the remaining requests, and returns once the client's connections are closed and its goroutines have
// ended. The error wraps the cause of ctx if ctx ended first. Close may be called more than once.
func (c *Client) Close(ctx context.Context) error {
	c.mu.Lock()
	if !c.closed && len(c.calls) == 0 {
		close(c.idle)
	}
	c.closed = true
	c.unlock()

	var err error
	select {
	case <-c.idle:
	case <-ctx.Done():
		err = fmt.Errorf("client: close: %w", context.Cause(ctx))
	}

	c.mu.Lock()
	for call := range c.calls {
		c.policy.CancelCall(c.now(), call.policyCall)
	}
	c.runActions()
	c.policy.CloseAll(c.now())
	c.runActions()
	c.stopTimer()
	c.unlock()

	c.cancelDials()
	c.goroutines.Wait()
	return err
}
