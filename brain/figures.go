package brain

import "time"

// Targets counts the page caches on the list and, of these, those that get no ordinary work now: what drains,
// and what is held to be bad. It decides and changes nothing.
func (b *Brain) Targets() (listed, avoided int) {
	for _, m := range b.members {
		if m.role != cache || m.state == Gone {
			continue
		}
		listed++
		if m.bad || !b.ready(m) {
			avoided++
		}
	}
	return listed, avoided
}

// Health tells, of each member on the list, how many failures in a row were seen and when the latest sign of life came.
func (b *Brain) Health(tell func(n NodeID, fails int, sign time.Duration)) {
	for id, m := range b.members {
		if m.state != Gone {
			tell(id, m.fails, m.sign)
		}
	}
}
