package messaging

import "time"

// Settings set up one router's messenger.
type Settings struct {
	Self            string        // the router's name
	Process         uint64        // of the router; each process has another, above 0
	RetryInitial    time.Duration // until a message is sent again; doubled with each retry,
	RetryMax        time.Duration // up to this
	MaxMessages     int           // in flight to one peer
	MaxBytes        int           // of the messages in flight to one peer
	MaxMessageBytes int           // of one message
	MaxPacketBytes  int           // of a packet that holds several messages
	MaxPeers        int           // that are remembered
	ReplyMemory     int           // replies that are remembered of each peer
}

// Defaults returns settings for a process of a router.
func Defaults(self string, process uint64) Settings {
	return Settings{
		Self:            self,
		Process:         process,
		RetryInitial:    30 * time.Millisecond,
		RetryMax:        480 * time.Millisecond,
		MaxMessages:     512,
		MaxBytes:        1 << 20,
		MaxMessageBytes: 20 << 10,
		MaxPacketBytes:  1100,
		MaxPeers:        1024,
		ReplyMemory:     1024,
	}
}
