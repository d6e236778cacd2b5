package netio

import (
	"strings"

	"hillknot/internal/logging"
)

// netpollLog takes the log lines of netpoll.
type netpollLog struct{}

// expectedNetpollLines are parts of lines that only say that a peer has reset its connection, or that this package has paused a
// listener. The number that netpoll prints in the former is not a count.
var expectedNetpollLines = []string{"readall(", "accept paused"}

// Write implements io.Writer. It takes one line, which begins with a date of netpoll's own.
func (netpollLog) Write(line []byte) (int, error) {
	_, text, found := strings.Cut(string(line), "NETPOLL: ")
	if !found {
		text = string(line)
	}
	text = strings.TrimSpace(text)
	for _, expected := range expectedNetpollLines {
		if strings.Contains(text, expected) {
			log.Debug("netpoll", logging.KeyLine, text)
			return len(line), nil
		}
	}
	log.Warn("netpoll reports an error", logging.KeyLine, text)
	return len(line), nil
}
