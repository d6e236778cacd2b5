package client

import (
	"time"

	"hillknot/client/policy"
)

// policyTimer calls the policy's Tick when it is due.
type policyTimer struct {
	timer *time.Timer
	at    time.Duration // when it fires; 0: not set
}

// runActions carries out the actions of the policy until none is left, and sets the timer. It is called after each
// event. The lock is held.
func (c *Client) runActions() {
	for actions := c.policy.Actions(); len(actions) > 0; actions = c.policy.Actions() {
		for _, action := range actions {
			c.runAction(action)
		}
	}
	c.setTimer()
}

func (c *Client) runAction(action policy.Action) {
	switch action.Kind {
	case policy.ActionDial:
		c.openConn(action)
	case policy.ActionCheckHealth:
		action.Conn.UserData.(*routerConn).enqueue(message{kind: healthCheck})
	case policy.ActionSend:
		conn, call := action.Conn.UserData.(*routerConn), action.Call.UserData.(*pendingCall)
		conn.send(call, action.Retry)
		c.observer.add(Observation{
			What:   Tried,
			Router: conn.address,
			Class:  c.classes.list[call.class].name,
			Retry:  action.Retry,
		})
	case policy.ActionCancel:
		action.Conn.UserData.(*routerConn).cancel(action.Call.UserData.(*pendingCall))
	case policy.ActionClose:
		action.Conn.UserData.(*routerConn).beginClose()
	case policy.ActionFinish:
		c.finish(action.Call.UserData.(*pendingCall), action.Outcome)
	}
}

// setTimer sets the timer to the policy's next tick. A timer that would fire too early is harmless and is not moved.
// A set timer counts as a goroutine, so that Close waits for a timer that has fired. The lock is held.
func (c *Client) setTimer() {
	at, ok := c.policy.NextTick()
	if !ok || c.timer.at > 0 && c.timer.at <= at {
		return
	}
	c.timer.at = at
	wait := max(at-c.now(), 0)
	if c.timer.timer == nil {
		c.goroutines.Add(1)
		c.timer.timer = time.AfterFunc(wait, c.tick)
	} else if wasActive := c.timer.timer.Reset(wait); !wasActive {
		c.goroutines.Add(1)
	}
}

// stopTimer stops the timer permanently. The lock is held.
func (c *Client) stopTimer() {
	if c.timer.timer != nil && c.timer.timer.Stop() {
		c.goroutines.Done()
	}
}

// tick runs when the timer fires.
func (c *Client) tick() {
	defer c.goroutines.Done()
	c.mu.Lock()
	defer c.unlock()
	c.timer.at = 0
	if !c.closed || len(c.calls) > 0 {
		c.policy.Tick(c.now())
		c.runActions()
	}
}
