package state

// OutgoingMessage is a message to send to one router, or to all routers if Recipient is empty. A message to all routers
// replaces an earlier one with the same ReplaceKey that still waits.
type OutgoingMessage struct {
	Recipient, ReplaceKey string
	Message               Message
}

// Prefixes of ReplaceKey, which the key of a counter or the id of an endpoint follows.
const (
	counterReplacePrefix  = "count "
	evidenceReplacePrefix = "evidence "
)

// OutgoingMessages returns the messages to send that were queued since the last call, and empties the queue.
func (s *State) OutgoingMessages() []OutgoingMessage {
	out := s.outbox
	s.outbox = nil
	return out
}

func (s *State) send(to string, m Message) {
	s.outbox = append(s.outbox, OutgoingMessage{Recipient: to, Message: m})
}

func (s *State) broadcast(replaceKey string, m Message) {
	s.outbox = append(s.outbox, OutgoingMessage{ReplaceKey: replaceKey, Message: m})
}
