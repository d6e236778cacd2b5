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
	Self    string
	Process uint64        // of the router; each process has another, above 0
	First   time.Duration // until a parcel is sent again; doubled each time,
	Most    time.Duration // up to this
	Count   int           // parcels on the way to one router
	Bytes   int           // of them
	Parcel  int           // bytes of one parcel, or of its answer
	Packet  int           // bytes of a packet that holds several
	Peers   int           // routers that are remembered
	Kept    int           // answers that are remembered of each
}

// Defaults returns settings for a process of a router.
func Defaults(self string, process uint64) Settings {
	return Settings{Self: self, Process: process, First: 30 * time.Millisecond, Most: 480 * time.Millisecond, Count: 512, Bytes: 1 << 20,
		Parcel: 20 << 10, Packet: 1100, Peers: 1024, Kept: 1024}
}

// Full says that too much is on the way to a router: it is slow, or can't be reached.
type Full struct{ To string }

func (e Full) Error() string { return fmt.Sprintf("too many parcels on the way to %q", e.To) }

// Hint implements remedy.Error.
func (Full) Hint() string {
	return "Look whether that router is up and how busy its machine is; what is on the way to it is given up by itself."
}

// TooLong says that a parcel is over the bound.
type TooLong struct{ Bytes, Most int }

func (e TooLong) Error() string { return fmt.Sprintf("a parcel of %d bytes, over %d", e.Bytes, e.Most) }

// Hint implements remedy.Error.
func (TooLong) Hint() string {
	return "Lower body_bytes, so that longer bodies are left out of records."
}

// Unheld says that a router did not say in time that it holds a parcel. It may hold it all the same.
type Unheld struct{ To string }

func (e Unheld) Error() string {
	return fmt.Sprintf("%q did not say in time that it holds a parcel", e.To)
}

// Hint implements remedy.Error.
func (Unheld) Hint() string {
	return "Look at app_fleet_others: the router is down or cut off, or has other keys."
}

// OtherProcess says that the process that a parcel was for has ended: another has its name.
type OtherProcess struct{ To string }

func (e OtherProcess) Error() string { return fmt.Sprintf("another process of %q is there now", e.To) }

// Hint implements remedy.Error.
func (OtherProcess) Hint() string {
	return "None is needed after a restart; if it goes on, two routers have one name: give each its own."
}

// Packet is to be sent to a router.
type Packet struct {
	To   string
	Data []byte
}

// Arrival is a parcel that has come, for the first time.
type Arrival struct {
	From    string
	Process uint64
	ID      uint64
	Body    []byte
}

// Done is the end of a parcel: the other side holds it, and has answered, or Err says why it is given up.
type Done struct {
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

// Post is one router's post. It is not safe for concurrent use.
type Post struct {
	set   Settings
	peers map[string]*peer
	where map[uint64]*peer // by parcels on the way
	last  uint64
	asks  uint64 // questions so far
	done  []Done
	names []string // of peers, in order; nil: to be made anew
}

// New returns the post of a process that has just started.
func New(set Settings) *Post {
	return &Post{set: set, peers: map[string]*peer{}, where: map[uint64]*peer{}}
}

// peer finds a router, or begins to remember it. Where there are too many, the one that was heard of longest ago and owes
// and is owed nothing is forgotten; nil where there is none.
func (p *Post) peer(now time.Duration, name string) *peer {
	if o := p.peers[name]; o != nil {
		return o
	}
	if len(p.peers) >= p.set.Peers {
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
func (p *Post) Send(now time.Duration, to string, body []byte, until time.Duration) (id uint64, err error) {
	o := p.peer(now, to)
	switch {
	case len(body) > p.set.Parcel:
		return 0, TooLong{len(body), p.set.Parcel}
	case o == nil || len(o.out) >= p.set.Count || o.bytes+len(body) > p.set.Bytes:
		return 0, Full{to}
	}
	p.last++
	o.out = append(o.out, &sent{id: p.last, process: o.process, body: body, next: now, pause: p.set.First, until: until})
	o.bytes += len(body)
	p.where[p.last] = o
	return p.last, nil
}

// Drop gives a parcel up that nobody needs any more: its end is not told.
func (p *Post) Drop(id uint64) {
	if o := p.where[id]; o != nil {
		p.take(o, id)
	}
}

// take takes a parcel off its way.
func (p *Post) take(o *peer, id uint64) *sent {
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

// Take reads a packet and returns what came with it for the first time. What makes no sense is passed over.
func (p *Post) Take(now time.Duration, data []byte) (in []Arrival) {
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
			p.done = append(p.done, Done{ID: a.ID, To: o.name, Reply: a.Body})
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
			if len(o.order) > p.set.Kept {
				o.floor = max(o.floor, o.order[0])
				delete(o.seen, o.order[0])
				o.order = o.order[1:]
			}
			in = append(in, Arrival{From: o.name, Process: o.process, ID: it.ID, Body: it.Body})
		}
	}
	return in
}

// questionFor is how long a question is asked again, where nothing waits for its answer.
const questionFor = 2 * time.Second

// question asks who is there now, unless that is open already.
func (p *Post) question(o *peer, now time.Duration) {
	if o.ask == 0 {
		p.asks++
		o.ask, o.asked, o.lapse = p.asks, now, now+questionFor
	}
}

// renew begins to talk to another process of a router. What was for the one before has no end any more but this.
func (p *Post) renew(o *peer, process uint64) {
	for _, s := range slices.Clone(o.out) {
		if s.process != 0 {
			p.take(o, s.id)
			p.done = append(p.done, Done{ID: s.id, To: o.name, Err: OtherProcess{o.name}})
			continue
		}
		s.process, s.next = process, 0
	}
	o.process, o.answers, o.order, o.floor = process, nil, nil, 0
	clear(o.seen)
}

// Answer says that a parcel is held, with a word of at least one byte. It is sent, and sent again when the parcel comes again.
func (p *Post) Answer(a Arrival, word []byte) {
	o := p.peers[a.From]
	if o == nil || o.process != a.Process {
		return
	}
	if _, known := o.seen[a.ID]; known {
		o.seen[a.ID] = word
		o.answers = append(o.answers, item{ID: a.ID, Body: word})
	}
}

// Beat gives up what nobody has answered in time. It is due every few milliseconds; one that comes late does no harm.
func (p *Post) Beat(now time.Duration) {
	for _, name := range p.names {
		o := p.peers[name]
		for i := 0; i < len(o.out); i++ {
			if s := o.out[i]; now >= s.until {
				p.take(o, s.id)
				p.done = append(p.done, Done{ID: s.id, To: o.name, Err: Unheld{o.name}})
				i--
			}
		}
	}
}

// Done returns the parcels that have ended since it was called last.
func (p *Post) Done() []Done {
	out := p.done
	p.done = nil
	return out
}

// Out returns the packets that are due: all that goes to one router together, as far as it fits.
func (p *Post) Out(now time.Duration) (out []Packet) {
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
			if size > 0 && size+len(it.Body) > p.set.Packet {
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
					s.next, s.pause = now+s.pause, min(2*s.pause, p.set.Most)
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
			w.Ask, o.asked, any = o.ask, now+p.set.First, true
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

func (p *Post) wire(o *peer) *wire {
	return &wire{From: p.set.Self, Process: p.set.Process, To: o.process}
}

// Waiting is how many parcels are on the way, to the router to which most are.
func (p *Post) Waiting() (most int) {
	for _, o := range p.peers {
		most = max(most, len(o.out))
	}
	return most
}

// Errors holds an example of each type of this package, as docs/errors.md shows it.
var Errors = []operatorhint.Error{Full{"r2"}, TooLong{30000, 20480}, Unheld{"r2"}, OtherProcess{"r2"}}
