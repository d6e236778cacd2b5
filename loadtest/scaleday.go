package loadtest

import (
	"fmt"
	"time"
)

// Days that MeasureScale can run.
const (
	dayCalm    = "calm"    // nothing happens
	dayRelease = "release" // most page caches are replaced
	dayOutage  = "outage"  // most page caches are replaced while the discovery service is down
	dayRelist  = "relist"  // the discovery service closes streams, and sends complete lists
)

// ScaleDays are the days that MeasureScale can run.
var ScaleDays = []string{dayCalm, dayRelease, dayOutage, dayRelist}

// scaleFleet is one router with many page caches.
type scaleFleet struct {
	*Fleet
	size int // page caches on the list
}

// measureDay runs one day, and returns the resources that the router used over the day, including its start.
func measureDay(settings ScaleSettings, day string, size int, seed uint64) (resourceUse, error) {
	options := independentFleet(1, false)
	options.Caches = size
	fleet, err := StartFleet(settings.Program, options)
	if err != nil {
		return resourceUse{}, err
	}
	defer fleet.Close()
	s := &scaleFleet{Fleet: fleet, size: size}
	router := s.Routers[0]
	monitor := startProcessMonitor(router.process.Process.Pid, sampleInterval)
	load := startPipelinedLoad(router.ListenAddress, settings.Rate, seed)
	dayErr := s.runDay(day, settings.Length)
	result := load.stop()
	use, err := monitor.finish()
	if dayErr != nil {
		return use, dayErr
	}
	if err != nil {
		return use, err
	}
	use.connections, use.listBytes = s.acceptedConnections(), s.discovery.BytesSent()
	use.served = float64(result.Served) / float64(max(result.Sent, 1))
	use.unanswered = result.AnsweredTwice + result.Unanswered + result.Disconnected
	return use, nil
}

// runDay runs the events of a day, and returns at the end of the day.
func (s *scaleFleet) runDay(day string, length time.Duration) error {
	end := time.Now().Add(length)
	var err error
	switch day {
	case dayCalm:
	case dayRelease:
		s.replaceCaches(length / 2)
	case dayOutage:
		time.Sleep(length / 6)
		s.discovery.StartOutage(length / 2)
		s.replaceCaches(length / 4) // the router receives the events after the outage
	case dayRelist:
		s.discovery.SendSnapshots(s.completeList)
		for range 5 {
			time.Sleep(length / 8)
			s.discovery.CloseStreams()
		}
	default:
		err = fmt.Errorf("unknown day %q", day)
	}
	time.Sleep(time.Until(end))
	return err
}

// replaceCaches replaces six in ten page caches within a length of time. It publishes three events for each: the page cache
// drains, it is gone, and a new one has started at its address.
func (s *scaleFleet) replaceCaches(length time.Duration) {
	count := s.size * 6 / 10
	start := time.Now()
	for i := range count {
		name, address := endpointName(i), s.caches[i].Addr()
		s.publishEndpoints(newEndpoint(name, address, stateDraining))
		s.publishEndpoints(newEndpoint(name, address, stateGone))
		replacement := newEndpoint(fmt.Sprintf("n-%d", s.size+i+1), address, stateReady)
		replacement.StartedAtMillis = time.Now().UnixMilli()
		s.publishEndpoints(replacement)
		time.Sleep(time.Until(start.Add(length * time.Duration(i+1) / time.Duration(count))))
	}
}

// completeList returns an event with the complete endpoint list, as sent by a discovery service that keeps no changes.
func (s *scaleFleet) completeList() string { return endpointsEvent(2, true, s.endpoints()) }

// acceptedConnections returns how many connections the page caches have accepted.
func (s *scaleFleet) acceptedConnections() (count int64) {
	for _, cache := range s.caches {
		count += cache.Accepted()
	}
	return count
}
