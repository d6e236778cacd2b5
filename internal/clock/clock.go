// Package clock reads the clocks of the machine. It is the only package of the router that does.
//
// Durations are measured on the monotonic clock, which never steps. The wall clock may be stepped at any moment,
// here and on the machines whose time stamps are read. It is read only to convert a time stamp to an age, once, when
// the stamp arrives.
package clock

import "time"

// origin is the reading of the monotonic clock at the start of the process. It lies far above 0, so that
// events before the start have times above 0 too.
const origin = 1000 * 24 * time.Hour

var (
	start = time.Now()
	epoch = time.Unix(0, 0)
)

// Now returns the reading of the monotonic clock. Readings of different processes can't be compared.
func Now() time.Duration { return origin + time.Since(start) }

// Wall returns the current Unix time of the machine's wall clock, which may step in either direction.
func Wall() time.Duration {
	return time.Now().Round(0).Sub(epoch) // Round drops the monotonic reading
}

// Deadline returns the current time plus a timeout, for calls that take a time.Time. The result carries a monotonic
// reading.
func Deadline(timeout time.Duration) time.Time { return time.Now().Add(timeout) }

// Until returns the duration until a deadline that carries a monotonic reading, as the deadline of a context does.
func Until(deadline time.Time) time.Duration { return time.Until(deadline) }

// Past returns a time that lies in the past on any clock, for deadlines that end a call at once.
func Past() time.Time { return time.Unix(1, 0) }

// Stamp is a Unix time that was read from the wall clock of another machine.
type Stamp time.Duration

// Date converts a stamp that arrived at now, when the wall clock of this machine read wall, to a reading of the
// monotonic clock. The result lies between earliest and now, however far the two wall clocks are apart: the stamped
// event can't lie in the future, nor before the latest time at which it is known not to have happened yet. The result
// is always above 0.
func (s Stamp) Date(now, wall, earliest time.Duration) time.Duration {
	stamp := max(time.Duration(s), 0) // the subtraction must not overflow on an absurd stamp
	age := min(max(wall-stamp, 0), now)
	return max(now-age, min(earliest, now), 1)
}
