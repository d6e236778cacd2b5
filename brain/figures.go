package brain

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
