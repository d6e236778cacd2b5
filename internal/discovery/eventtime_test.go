package discovery

import (
	"fmt"
	"net"
	"testing"
	"time"

	"hillknot/internal/clock"
	"hillknot/internal/core"
)

// timeRecorder records the times at which endpoints started and purges were published.
type timeRecorder struct {
	starts map[string]time.Duration
	purges chan time.Duration
}

func (r *timeRecorder) PostWatchEvent(f func())                    { f() }
func (r *timeRecorder) ReplaceEndpoints(all []core.EndpointUpdate) { r.UpdateEndpoints(all) }

func (r *timeRecorder) UpdateEndpoints(changed []core.EndpointUpdate) {
	for _, update := range changed {
		r.starts[update.ID] = update.StartedAt
	}
}

func (r *timeRecorder) PurgeObject(_ uint64, at time.Duration) { r.purges <- at }
func (r *timeRecorder) PurgeGroup(_ uint64, at time.Duration)  { r.purges <- at }

// startRecordingTimes starts a watcher and returns its connection, on which the test acts as the service. The configured
// events hold an endpoint that started two hours ago by the wall clock.
func startRecordingTimes(t *testing.T) (*timeRecorder, net.Conn) {
	t.Helper()
	ln := listen(t)
	handler := &timeRecorder{starts: map[string]time.Duration{}, purges: make(chan time.Duration, 100)}
	start := parseObject(t, fmt.Sprintf(`{"pos":1,"entries":[{"pos":1,"hosts":{"instances":[
		{"instanceId":"old","lifecycle":"ready","startedAtMs":%d}]}}]}`, (clock.Wall()-2*time.Hour).Milliseconds()))
	startWatcher(t, handler, ln.Addr().String(), testLimits(time.Millisecond), start)
	conn := acceptWatch(t, ln)
	_ = ln.Close() // the watcher can't connect a second time
	send(t, conn, responseHeader+"\r\n")
	return handler, conn
}

func purgeEvent(position int, stamp time.Duration) string {
	return fmt.Sprintf("id: %d\ndata: {\"pos\":%d,\"expire\":{\"set\":1,\"stamp\":%d}}\n\n",
		position, position, stamp.Milliseconds())
}

// A change is dated between the latest moment at which everything was read and now, however wrong its stamp is. This holds
// also when an event arrives in several pieces: reading the first piece does not show that the rest was not published yet.
func TestChangesAreDatedSinceLatestCompleteRead(t *testing.T) {
	begun := clock.Now()
	handler, conn := startRecordingTimes(t)
	send(t, conn, purgeEvent(2, clock.Wall()-time.Hour))
	if at := <-handler.purges; at < begun || at > clock.Now() {
		t.Errorf("purge published after the start is dated %v before it", begun-at)
	}
	sendingBegun := clock.Now()
	text := purgeEvent(3, clock.Wall()-time.Hour)
	for _, piece := range []string{text[:3], text[3:9], text[9:20], text[20:]} {
		time.Sleep(30 * time.Millisecond) // so that each piece is read separately
		send(t, conn, piece)
	}
	at := <-handler.purges
	if early := sendingBegun - at; early > 25*time.Millisecond || at > sendingBegun+30*time.Millisecond {
		t.Errorf("purge dated %v before its first byte was sent, want at most 25 ms before and 30 ms after", early)
	}
	send(t, conn, purgeEvent(4, clock.Wall()+time.Hour))
	if at := <-handler.purges; at > clock.Now() {
		t.Error("purge dated in the future")
	}
	if age := clock.Now() - handler.starts["old"]; age < 119*time.Minute || age > 121*time.Minute {
		t.Errorf("start of a configured endpoint is dated %v ago, want 2 h", age)
	}
}
