package credit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hillknot/internal/cluster/messaging"
)

// kind is the kind of a message.
type kind uint8

const (
	kindTell  kind = iota + 1 // what the sender holds of some accounts
	kindBeg                   // asks for rights
	kindGive                  // gives them
	kindBirth                 // asks whether another ledger is known under the sender's name
)

type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    kind
	Ledger  string // the sender's
	Account string
	Amount  int64
	Seq     uint64 // of kindGive; of kindBirth: the latest gift to whom it is sent
	Told    []holding
}

// holding is what a router holds of an account, and how much it spends a second.
type holding struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Amount  int64
	Rate    float64
}

// The answers.
const (
	yes   = "yes"
	no    = "no"
	stale = "stale"
)

// asked is a parcel on its way.
type asked struct {
	kind kind
	to   string
}

// theirs is what another router has told.
type theirs struct {
	at   time.Duration
	held map[string]holding
}

const (
	toldMost   = 24 // accounts in one message
	toldTo     = 8  // routers that are told at a time
	fresh      = 5 * time.Second
	begEvery   = 100 * time.Millisecond
	birthEvery = time.Second
	noneHeld   = 4096 // accounts of one router that are remembered
)

// SetPeers tells who else is alive, in order.
func (b *Ledger) SetPeers(others []string) { b.live = others }

// OutgoingPackets returns the packets that are due.
func (b *Ledger) OutgoingPackets(now time.Duration) []messaging.Packet { return b.post.DuePackets(now) }

// elsewhere is what others have told lately that they hold of an account.
func (b *Ledger) elsewhere(now time.Duration, name string) (sum int64) {
	for _, t := range b.known {
		if now-t.at < fresh {
			sum += max(t.held[name].Amount, 0)
		}
	}
	return min(sum, MaxAmount)
}

func (b *Ledger) ratesElsewhere(now time.Duration, name string) (sum float64) {
	for _, who := range slices.Sorted(maps.Keys(b.known)) {
		if t := b.known[who]; now-t.at < fresh {
			sum += t.held[name].Rate
		}
	}
	return sum
}

func (b *Ledger) send(now time.Duration, to string, m message, wait time.Duration) uint64 {
	m.Ledger = b.set.LedgerID
	body, err := cbor.Marshal(&m)
	if err != nil { // this type can't fail
		return 0
	}
	id, err := b.post.Send(now, to, body, now+wait)
	if err != nil { // too much is on the way there: it is tried again at a later beat
		return 0
	}
	b.asked[id] = asked{m.Kind, to}
	return id
}

// tellAll tells some others, in turn, what is held here of the accounts that are in use.
func (b *Ledger) tellAll(now time.Duration) {
	if len(b.live) == 0 || now < b.told+b.set.TickInterval {
		return
	}
	b.told = now
	var list []holding
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[name]
		list = append(list, holding{Account: name, Amount: b.own(a), Rate: a.rate})
	}
	slices.SortStableFunc(list, func(x, y holding) int { // those in use first
		return int(math.Copysign(1, y.Rate-x.Rate))
	})
	for part := range slices.Chunk(list, toldMost) {
		for i := range min(len(b.live), toldTo) {
			b.send(now, b.live[(b.turn+i)%len(b.live)], message{Kind: kindTell, Told: part}, b.set.TickInterval)
		}
		if len(list) > 4*toldMost { // the others wait until these are used less
			break
		}
	}
	b.turn = (b.turn + min(len(b.live), toldTo)) % len(b.live)
}

// beg asks for rights of an account, of who is known to hold most of it.
func (b *Ledger) beg(now time.Duration, a *account) {
	if now < a.begged+begEvery || len(b.live) == 0 || b.stale() {
		return
	}
	best, most := "", int64(0)
	for _, who := range b.live {
		if t := b.known[who]; t != nil && now-t.at < fresh && t.held[a.name].Amount > most {
			best, most = who, t.held[a.name].Amount
		}
	}
	if best == "" {
		return
	}
	a.begged = now
	want := max(int64(math.Ceil(4*a.rate*b.set.DrawWindow.Seconds()))-b.own(a), 1)
	b.send(now, best, message{Kind: kindBeg, Account: a.name, Amount: want}, b.set.TickInterval)
}

// begged gives rights that are not needed here: as many as are asked for, or half of them where that is more, so that few
// gifts bring rights to where they are used.
func (b *Ledger) begged(now time.Duration, from string, m message) {
	a := b.accounts[m.Account]
	if a == nil || b.stale() || b.failed != nil {
		return
	}
	g := b.gifts[from]
	if g == nil {
		g = &gift{to: from}
		b.gifts[from] = g
	}
	if g.Amount > 0 { // one after the other
		return
	}
	if a.rate == 0 {
		b.bringBack(a, 0)
	}
	spare := a.line.Rights - a.wait - int64(math.Ceil(2*a.rate*b.set.DrawWindow.Seconds()))
	if a.rate == 0 {
		spare = a.line.Rights - a.wait
	}
	n := min(spare, max(m.Amount, spare/2))
	if n <= 0 {
		return
	}
	a.line.Rights -= n
	g.Seq, g.Account, g.Amount, g.written = g.Seq+1, a.name, n, false
	b.Totals.TransferredOut += n
	b.change(func(now time.Duration) { // it is on its way only once it is written down as given
		g.written = true
		b.give(now, g)
	}, "account/"+a.name, "gift/"+from)
}

// give sends a gift that is written down, until the other has taken it.
func (b *Ledger) give(now time.Duration, g *gift) {
	if g.Amount > 0 && g.written && g.parcel == 0 {
		g.parcel = b.send(now, g.to, message{Kind: kindGive, Account: g.Account, Amount: g.Amount, Seq: g.Seq}, 10*time.Second)
	}
}

// ReceivePacket takes a packet of another router.
func (b *Ledger) ReceivePacket(now time.Duration, data []byte) {
	for _, p := range b.post.Receive(now, data) {
		var m message
		if err := cbor.Unmarshal(p.Body, &m); err != nil || len(m.Ledger) > 64 || m.Ledger == "" || len(m.Told) > toldMost || m.Amount < 0 || m.Amount > MaxAmount {
			b.post.Acknowledge(p, []byte(no))
			continue
		}
		switch m.Kind {
		case kindTell:
			b.heard(now, p.From, m.Told)
			b.post.Acknowledge(p, []byte(yes))
		case kindBeg:
			b.begged(now, p.From, m)
			b.post.Acknowledge(p, []byte(yes))
		case kindGive:
			b.taken(p, m)
		case kindBirth:
			b.birth(p, m)
		default:
			b.post.Acknowledge(p, []byte(no))
		}
	}
	b.ends(now)
}

func (b *Ledger) heard(now time.Duration, from string, list []holding) {
	t := b.known[from]
	if t == nil {
		if len(b.known) >= 1024 {
			return
		}
		t = &theirs{held: map[string]holding{}}
		b.known[from] = t
	}
	t.at = now
	for _, h := range list {
		if len(t.held) >= noneHeld || len(h.Account) > nameMost || h.Amount < 0 || h.Amount > MaxAmount || !(h.Rate >= 0 && h.Rate <= float64(MaxAmount)) {
			continue
		}
		if b.accounts[h.Account] != nil {
			t.held[h.Account] = h
		}
	}
}

// taken takes a gift, once. The giver hears that only when it is written down here.
func (b *Ledger) taken(p messaging.Delivery, m message) {
	last := b.got[m.Ledger]
	switch {
	case m.Seq <= last:
		b.onceWritten(func(time.Duration) { b.post.Acknowledge(p, []byte(yes)) }) // it was, before
		return
	case m.Seq != last+1 || m.Account == "" || len(m.Account) > nameMost || len(b.accounts) > b.set.MaxAccounts:
		b.post.Acknowledge(p, []byte(no))
		return
	}
	b.got[m.Ledger] = m.Seq
	b.Totals.TransferredIn += m.Amount
	b.add(b.account(m.Account), m.Amount, "got/"+m.Ledger)
	b.onceWritten(func(time.Duration) { b.post.Acknowledge(p, []byte(yes)) })
}

// ends takes the ends of parcels.
func (b *Ledger) ends(now time.Duration) {
	for _, d := range b.post.Completions() {
		a, ok := b.asked[d.ID]
		delete(b.asked, d.ID)
		switch {
		case !ok:
		case a.kind == kindGive:
			g := b.gifts[a.to]
			if g.parcel = 0; d.Err == nil && string(d.Reply) == yes {
				g.Amount = 0
				b.change(nil, "gift/"+a.to)
			} else if d.Err != nil {
				b.give(now, g) // until it is taken, whenever that is
			}
		case a.kind == kindBirth && d.Err == nil:
			switch string(d.Reply) {
			case yes:
				b.births[a.to] = true
			case stale:
				b.stopped = StaleLedgerError{a.to}
			default:
				if !b.meta.Born && b.stopped == nil {
					b.stopped = NameTakenError{a.to}
				}
			}
		}
	}
}

// beBorn asks all others among whom top-ups are split whether they know another ledger under this name, until all have said
// no: only then is it sure that nobody has had this router's parts. Ledgers that are born ask each once after each start,
// whether they have got more from it than it knows.
func (b *Ledger) beBorn(now time.Duration) {
	for _, to := range slices.Sorted(maps.Keys(b.gifts)) { // what a process before this one has left
		b.give(now, b.gifts[to])
	}
	all := true
	for _, who := range b.others() {
		if b.births[who] {
			continue
		}
		all = false
		if !slices.ContainsFunc(slices.Collect(maps.Values(b.asked)), func(a asked) bool { return a == asked{kindBirth, who} }) {
			seq := uint64(0)
			if g := b.gifts[who]; g != nil {
				seq = g.Seq
			}
			b.send(now, who, message{Kind: kindBirth, Seq: seq}, birthEvery)
		}
	}
	if all && len(b.list) > 0 && !b.meta.Born && b.stopped == nil {
		b.meta.Born = true
		b.change(func(now time.Duration) { b.count(now) }, "meta")
	}
}

// others are all but this one among whom top-ups are split.
func (b *Ledger) others() (names []string) {
	seen := map[string]bool{b.set.Router: true}
	for _, t := range b.list {
		for _, name := range t.Routers {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// birth answers whether another ledger is known under a router's name, and whether more has come from this one than it
// knows. The first ledger that asks is written down before it hears yes.
func (b *Ledger) birth(p messaging.Delivery, m message) {
	switch was := b.names[p.From]; {
	case was != "" && was != m.Ledger:
		b.post.Acknowledge(p, []byte(no))
	case b.got[m.Ledger] > m.Seq:
		b.post.Acknowledge(p, []byte(stale))
	case was == m.Ledger:
		b.onceWritten(func(time.Duration) { b.post.Acknowledge(p, []byte(yes)) }) // what is being written may be that very line
	default:
		b.names[p.From] = m.Ledger
		b.change(func(time.Duration) { b.post.Acknowledge(p, []byte(yes)) }, "name/"+p.From)
	}
}
