package messaging

import "time"

// Settings configures one router's messenger.
type Settings struct {
	Self            string        // the router's name
	Process         uint64        // number of the router's process, above 0; it differs between processes
	RetryInitial    time.Duration // time until a message is sent again; doubled with each retry
	RetryMax        time.Duration // upper bound of that time
	MaxMessages     int           // in flight to one peer
	MaxBytes        int           // of the messages in flight to one peer
	MaxMessageBytes int           // of one message
	MaxPacketBytes  int           // of a packet that holds several items
	MaxPeers        int           // peers that are remembered
	ReplyMemory     int           // received messages of each peer that are remembered, with their replies
}

// Defaults returns the default settings for a process of a router.
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
