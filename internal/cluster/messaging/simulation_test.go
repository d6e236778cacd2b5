package messaging

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// simulatedPair holds two messengers and a network between them that loses, delays and repeats packets. The processes of the
// messengers can be replaced.
type simulatedPair struct {
	random       *rand.Rand
	now          time.Duration
	messengers   map[string]*Messenger
	processCount uint64 // processes started so far
	network      []packetInFlight
	lossRate     float64        // fraction of packets that are lost
	delivered    map[string]int // how often each message was delivered, by sender, process and id
}

type packetInFlight struct {
	at   time.Duration
	to   string
	data []byte
}

// newSimulatedPair returns the messengers "a" and "b".
func newSimulatedPair(seed1, seed2 uint64, lossRate float64) *simulatedPair {
	p := &simulatedPair{
		random:     rand.New(rand.NewPCG(seed1, seed2)),
		messengers: map[string]*Messenger{},
		lossRate:   lossRate,
		delivered:  map[string]int{},
	}
	p.start("a")
	p.start("b")
	return p
}

// start starts a new process of a router.
func (p *simulatedPair) start(name string) {
	p.processCount++
	settings := Defaults(name, p.processCount)
	settings.ReplyMemory, settings.MaxMessages = 16, 8
	p.messengers[name] = New(settings)
}

// replaceRandomProcess starts a new process of one of the routers, and returns its name.
func (p *simulatedPair) replaceRandomProcess() string {
	name := []string{"a", "b"}[p.random.IntN(2)]
	p.start(name)
	return name
}

// step advances time by a millisecond.
func (p *simulatedPair) step(t *testing.T) {
	t.Helper()
	p.now += ms
	p.deliverPackets(t)
	for _, name := range []string{"a", "b"} {
		for _, packet := range p.messengers[name].DuePackets(p.now) {
			p.send(packet)
		}
		p.messengers[name].Tick(p.now)
	}
}

func (p *simulatedPair) deliverPackets(t *testing.T) {
	t.Helper()
	for i := 0; i < len(p.network); {
		packet := p.network[i]
		if packet.at > p.now {
			i++
			continue
		}
		p.network = slices.Delete(p.network, i, i+1)
		for _, d := range p.messengers[packet.to].Receive(p.now, packet.data) {
			p.countDelivery(t, d)
			if p.random.IntN(10) > 0 { // otherwise it is not acknowledged now or later
				p.messengers[packet.to].Acknowledge(d, replyTo(d.Body))
			}
		}
	}
}

func (p *simulatedPair) countDelivery(t *testing.T, d Delivery) {
	t.Helper()
	key := fmt.Sprint(d.From, d.Process, d.ID)
	p.delivered[key]++
	if p.delivered[key] > 1 {
		t.Fatalf("message %s was delivered twice", key)
	}
}

func replyTo(body []byte) []byte { return append([]byte("held "), body...) }

// send puts a packet on the network, sometimes twice, unless it is lost. Some packets arrive up to 3 s late.
func (p *simulatedPair) send(packet Packet) {
	for range 1 + p.random.IntN(3)/2 {
		at := p.now + time.Duration(p.random.ExpFloat64()*float64(5*ms))
		if p.random.IntN(30) == 0 {
			at += time.Duration(p.random.Int64N(int64(3 * time.Second)))
		}
		if p.random.Float64() >= p.lossRate {
			p.network = append(p.network, packetInFlight{at, packet.To, packet.Data})
		}
	}
}
