package state

// OutgoingMessage is a message to be sent: to one router, or to all where Recipient is empty. A later message for all with the
// same ReplaceKey replaces an earlier one that still waits.
type OutgoingMessage struct {
	Recipient, ReplaceKey string
	Message               Message
}

// Replace keys of messages for all: the name of a counter or the id of an endpoint follows.
const (
	counterReplacePrefix  = "count "
	evidenceReplacePrefix = "evidence "
)

// OutgoingMessages returns the messages to be sent since the last call, and forgets them.
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
