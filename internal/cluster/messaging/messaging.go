// Package messaging sends parcels to one router each, again and again until it says that it holds them. It decides what is
// sent when, what is answered and what is passed over; it does no I/O, reads no clock and draws no chance.
//
// A parcel is for one process of a router. That hands it over at most once, however often and late it comes: what it has
// handed over it answers again from memory, and what is too old to be remembered it passes over. So no packet of before
// can bring anything back.
package messaging

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/operatorhint"
)

// Settings set up one router's post.
type Settings struct {
	Self            string
	Process         uint64        // of the router; each process has another, above 0
	RetryInitial    time.Duration // until a parcel is sent again; doubled each time,
	RetryMax        time.Duration // up to this
	MaxMessages     int           // parcels on the way to one router
	MaxBytes        int           // of them
	MaxMessageBytes int           // bytes of one parcel, or of its answer
	MaxPacketBytes  int           // bytes of a packet that holds several
	MaxPeers        int           // routers that are remembered
	ReplyMemory     int           // answers that are remembered of each
}

// Defaults returns settings for a process of a router.
func Defaults(self string, process uint64) Settings {
	return Settings{Self: self, Process: process, RetryInitial: 30 * time.Millisecond, RetryMax: 480 * time.Millisecond, MaxMessages: 512, MaxBytes: 1 << 20,
		MaxMessageBytes: 20 << 10, MaxPacketBytes: 1100, MaxPeers: 1024, ReplyMemory: 1024}
}

// QueueFullError says that too much is on the way to a router: it is slow, or can't be reached.
type QueueFullError struct{ To string }

func (e QueueFullError) Error() string { return fmt.Sprintf("too many parcels on the way to %q", e.To) }

// Hint implements operatorhint.Error.
func (QueueFullError) Hint() string {
	return "Look whether that router is up and how busy its machine is; what is on the way to it is given up by itself."
}

// MessageTooLongError says that a parcel is over the bound.
type MessageTooLongError struct{ Bytes, Most int }

func (e MessageTooLongError) Error() string {
	return fmt.Sprintf("a parcel of %d bytes, over %d", e.Bytes, e.Most)
}

// Hint implements operatorhint.Error.
func (MessageTooLongError) Hint() string {
	return "Lower body_bytes, so that longer bodies are left out of records."
}

// NotAcknowledgedError says that a router did not say in time that it holds a parcel. It may hold it all the same.
type NotAcknowledgedError struct{ To string }

func (e NotAcknowledgedError) Error() string {
	return fmt.Sprintf("%q did not say in time that it holds a parcel", e.To)
}

// Hint implements operatorhint.Error.
func (NotAcknowledgedError) Hint() string {
	return "Look at app_fleet_others: the router is down or cut off, or has other keys."
}

// ProcessReplacedError says that the process that a parcel was for has ended: another has its name.
type ProcessReplacedError struct{ To string }

func (e ProcessReplacedError) Error() string {
	return fmt.Sprintf("another process of %q is there now", e.To)
}

// Hint implements operatorhint.Error.
func (ProcessReplacedError) Hint() string {
	return "None is needed after a restart; if it goes on, two routers have one name: give each its own."
}

// Packet is to be sent to a router.
type Packet struct {
	To   string
	Data []byte
}

// Delivery is a parcel that has come, for the first time.
type Delivery struct {
	From    string
	Process uint64
	ID      uint64
	Body    []byte
}

// Completion is the end of a parcel: the other side holds it, and has answered, or Err says why it is given up.
type Completion struct {
	ID    uint64
	To    string
	Reply []byte
	Err   error
}

// wire is a packet as it is sent.
type wire struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Process uint64
	To      uint64 // the process that the parcels are for; 0: not known yet, and there are none
	Parcels []item
	Answers []item // to parcels of the process To
	Ask     uint64 // who is there under this name now? Answered by Echo with the same number
	Echo    uint64
}

type item struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Body []byte
}

// sent is a parcel on its way.
type sent struct {
	id      uint64
	process uint64 // that it is for; 0: not known yet
	body    []byte
	next    time.Duration // when it is sent again
	pause   time.Duration
	until   time.Duration
}

// peer is another router, as its latest process that was heard of.
type peer struct {
	name    string
	process uint64 // 0: not known yet
	out     []*sent
	bytes   int
	answers []item            // to be sent
	ask     uint64            // the question who is there now, that is open; 0: none is
	asked   time.Duration     // when it is asked again
	lapse   time.Duration     // when it is given up, where nothing waits for its answer
	echoes  []echo            // to be sent
	poke    bool              // it takes us for another process, and is to hear of us
	seen    map[uint64][]byte // parcels that came: their answers; nil: not answered yet
	order   []uint64          // of seen, oldest first
	floor   uint64            // numbers up to this are too old to be told apart
	heard   time.Duration
}

// echo answers who is here now, to the process that asked.
type echo struct{ to, number uint64 }

// echoesMost is how many questions are answered at a time.
const echoesMost = 4

// Messenger is one router's post. It is not safe for concurrent use.
type Messenger struct {
	set   Settings
	peers map[string]*peer
	where map[uint64]*peer // by parcels on the way
	last  uint64
	asks  uint64 // questions so far
	done  []Completion
	names []string // of peers, in order; nil: to be made anew
}

// New returns the post of a process that has just started.
func New(set Settings) *Messenger {
	return &Messenger{set: set, peers: map[string]*peer{}, where: map[uint64]*peer{}}
}

// peer finds a router, or begins to remember it. Where there are too many, the one that was heard of longest ago and owes
// and is owed nothing is forgotten; nil where there is none.
func (p *Messenger) peer(now time.Duration, name string) *peer {
	if o := p.peers[name]; o != nil {
		return o
	}
	if len(p.peers) >= p.set.MaxPeers {
		var old *peer
		for _, key := range slices.Sorted(maps.Keys(p.peers)) {
			if o := p.peers[key]; len(o.out) == 0 && (old == nil || o.heard < old.heard) {
				old = o
			}
		}
		if old == nil {
			return nil
		}
		delete(p.peers, old.name)
		p.names = nil
	}
	o := &peer{name: name, heard: now, seen: map[uint64][]byte{}}
	p.peers[name], p.names = o, nil
	return o
}

// Send has a parcel sent to a router until it holds it, or a time. Its end is told by Done, under the number returned.
func (p *Messenger) Send(now time.Duration, to string, body []byte, until time.Duration) (id uint64, err error) {
	o := p.peer(now, to)
	switch {
	case len(body) > p.set.MaxMessageBytes:
		return 0, MessageTooLongError{len(body), p.set.MaxMessageBytes}
	case o == nil || len(o.out) >= p.set.MaxMessages || o.bytes+len(body) > p.set.MaxBytes:
		return 0, QueueFullError{to}
	}
	p.last++
	o.out = append(o.out, &sent{id: p.last, process: o.process, body: body, next: now, pause: p.set.RetryInitial, until: until})
	o.bytes += len(body)
	p.where[p.last] = o
	return p.last, nil
}

// Cancel gives a parcel up that nobody needs any more: its end is not told.
func (p *Messenger) Cancel(id uint64) {
	if o := p.where[id]; o != nil {
		p.take(o, id)
	}
}

// take takes a parcel off its way.
func (p *Messenger) take(o *peer, id uint64) *sent {
	delete(p.where, id)
	i := slices.IndexFunc(o.out, func(s *sent) bool { return s.id == id })
	if i < 0 {
		return nil
	}
	s := o.out[i]
	o.out = slices.Delete(o.out, i, i+1)
	o.bytes -= len(s.body)
	return s
}

// Receive reads a packet and returns what came with it for the first time. What makes no sense is passed over.
func (p *Messenger) Receive(now time.Duration, data []byte) (in []Delivery) {
	var w wire
	if err := cbor.Unmarshal(data, &w); err != nil || w.From == "" || len(w.From) > 128 || w.Process == 0 || w.From == p.set.Self {
		return nil
	}
	o := p.peer(now, w.From)
	if o == nil {
		return nil
	}
	if w.Ask != 0 && len(o.echoes) < echoesMost {
		o.echoes = append(o.echoes, echo{w.Process, w.Ask})
	}
	// Which process is there now only shows from the answer to a question that is still open: one that has ended can't give
	// it, whatever of it is still on the way.
	if w.Echo != 0 && w.Echo == o.ask && w.To == p.set.Process {
		if o.ask = 0; o.process != w.Process {
			p.renew(o, w.Process)
		}
	}
	if w.Process != o.process {
		p.question(o, now)
		return nil
	}
	o.heard = now
	if w.To != p.set.Process {
		o.poke = true
		return nil
	}
	for _, a := range w.Answers {
		if p.where[a.ID] == o {
			p.take(o, a.ID)
			p.done = append(p.done, Completion{ID: a.ID, To: o.name, Reply: a.Body})
		}
	}
	for _, it := range w.Parcels {
		switch answer, known := o.seen[it.ID]; {
		case known && answer != nil:
			o.answers = append(o.answers, item{ID: it.ID, Body: answer})
		case known, it.ID <= o.floor, it.ID == 0:
		default:
			o.seen[it.ID] = nil
			o.order = append(o.order, it.ID)
			if len(o.order) > p.set.ReplyMemory {
				o.floor = max(o.floor, o.order[0])
				delete(o.seen, o.order[0])
				o.order = o.order[1:]
			}
			in = append(in, Delivery{From: o.name, Process: o.process, ID: it.ID, Body: it.Body})
		}
	}
	return in
}

// questionFor is how long a question is asked again, where nothing waits for its answer.
const questionFor = 2 * time.Second

// question asks who is there now, unless that is open already.
func (p *Messenger) question(o *peer, now time.Duration) {
	if o.ask == 0 {
		p.asks++
		o.ask, o.asked, o.lapse = p.asks, now, now+questionFor
	}
}

// renew begins to talk to another process of a router. What was for the one before has no end any more but this.
func (p *Messenger) renew(o *peer, process uint64) {
	for _, s := range slices.Clone(o.out) {
		if s.process != 0 {
			p.take(o, s.id)
			p.done = append(p.done, Completion{ID: s.id, To: o.name, Err: ProcessReplacedError{o.name}})
			continue
		}
		s.process, s.next = process, 0
	}
	o.process, o.answers, o.order, o.floor = process, nil, nil, 0
	clear(o.seen)
}

// Acknowledge says that a parcel is held, with a word of at least one byte. It is sent, and sent again when the parcel comes again.
func (p *Messenger) Acknowledge(a Delivery, word []byte) {
	o := p.peers[a.From]
	if o == nil || o.process != a.Process {
		return
	}
	if _, known := o.seen[a.ID]; known {
		o.seen[a.ID] = word
		o.answers = append(o.answers, item{ID: a.ID, Body: word})
	}
}

// Tick gives up what nobody has answered in time. It is due every few milliseconds; one that comes late does no harm.
func (p *Messenger) Tick(now time.Duration) {
	for _, name := range p.names {
		o := p.peers[name]
		for i := 0; i < len(o.out); i++ {
			if s := o.out[i]; now >= s.until {
				p.take(o, s.id)
				p.done = append(p.done, Completion{ID: s.id, To: o.name, Err: NotAcknowledgedError{o.name}})
				i--
			}
		}
	}
}

// Completions returns the parcels that have ended since it was called last.
func (p *Messenger) Completions() []Completion {
	out := p.done
	p.done = nil
	return out
}

// DuePackets returns the packets that are due: all that goes to one router together, as far as it fits.
func (p *Messenger) DuePackets(now time.Duration) (out []Packet) {
	if p.names == nil {
		p.names = slices.Sorted(maps.Keys(p.peers))
	}
	for _, name := range p.names {
		o := p.peers[name]
		if len(o.out) == 0 && len(o.answers) == 0 && o.ask == 0 && len(o.echoes) == 0 && !o.poke {
			continue
		}
		w, size := p.wire(o), 0
		flush := func() {
			data, err := cbor.Marshal(w)
			if err == nil { // it always is: these types can't fail
				out = append(out, Packet{name, data})
			}
			w, size = p.wire(o), 0
		}
		any := false
		add := func(list *[]item, it item) {
			if size > 0 && size+len(it.Body) > p.set.MaxPacketBytes {
				flush()
			}
			*list = append(*list, it)
			size, any = size+len(it.Body)+12, true
		}
		if o.process != 0 {
			for _, a := range o.answers {
				add(&w.Answers, a)
			}
			o.answers = nil
			for _, s := range o.out {
				if now >= s.next {
					s.next, s.pause = now+s.pause, min(2*s.pause, p.set.RetryMax)
					add(&w.Parcels, item{ID: s.id, Body: s.body})
				}
			}
		} else if len(o.out) > 0 {
			p.question(o, now)
		}
		if len(o.out) == 0 && now >= o.lapse {
			o.ask = 0
		}
		if o.ask != 0 && now >= o.asked {
			w.Ask, o.asked, any = o.ask, now+p.set.RetryInitial, true
		}
		if any || o.poke {
			o.poke = false
			flush()
		}
		for _, e := range o.echoes {
			w.To, w.Echo = e.to, e.number
			flush()
		}
		o.echoes = nil
	}
	return out
}

func (p *Messenger) wire(o *peer) *wire {
	return &wire{From: p.set.Self, Process: p.set.Process, To: o.process}
}

// MaxQueued is how many parcels are on the way, to the router to which most are.
func (p *Messenger) MaxQueued() (most int) {
	for _, o := range p.peers {
		most = max(most, len(o.out))
	}
	return most
}

// Errors holds an example of each type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{QueueFullError{"r2"}, MessageTooLongError{30000, 20480}, NotAcknowledgedError{"r2"}, ProcessReplacedError{"r2"}}
