package handover

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/balancer"
	"hillknot/internal/jsonfields"
)

// State is what a predecessor hands over.
type State struct {
	DiscoveryPosition int64 // in the event log of discovery
	Memory            balancer.Memory
}

// A State is written as JSON. The lists of a Memory are rows of whole numbers, one behind the other: ids as they
// are, times in nanoseconds, shares and seconds in billionths. Processes of other releases read it: the order of
// the columns stays.

// encode writes a state.
func encode(s State) []byte {
	var e encoder
	e.object = e.arena.NewObject()
	e.integer("pos", s.DiscoveryPosition)
	e.integer("linkRoom", billionths(s.Memory.LinkRoom))
	e.integer("floor", int64(s.Memory.Floor))
	encodeRows(&e, "purges", s.Memory.Purges, purgeRow)
	encodeRows(&e, "members", s.Memory.Members, memberRow)
	encodeRows(&e, "loads", s.Memory.Loads, loadRow)
	encodeRows(&e, "objects", s.Memory.Objects, objectRow)
	e.classes("classes", s.Memory.Classes)
	return e.object.MarshalTo(nil)
}

// encoder writes the keys of one object.
type encoder struct {
	arena  fastjson.Arena
	object *fastjson.Value
}

func (e *encoder) number(v int64) *fastjson.Value {
	return e.arena.NewNumberString(strconv.FormatInt(v, 10))
}

func (e *encoder) integer(key string, v int64) { e.object.Set(key, e.number(v)) }

func (e *encoder) classes(key string, classes []balancer.ClassMemory) {
	list := e.arena.NewArray()
	for i, c := range classes {
		class := e.arena.NewObject()
		class.Set("name", e.arena.NewString(c.Name))
		class.Set("work", e.number(billionths(c.Work)))
		list.SetArrayItem(i, class)
	}
	e.object.Set(key, list)
}

// encodeRows writes a list, each item as the numbers of its row.
func encodeRows[T any](e *encoder, key string, items []T, row func(T) []int64) {
	list := e.arena.NewArray()
	for _, item := range items {
		for _, v := range row(item) {
			list.SetArrayItem(len(list.GetArray()), e.number(v))
		}
	}
	e.object.Set(key, list)
}

// decode reads a state. A text that can't be read is an error; figures that make no sense are balancer's to
// correct.
func decode(text []byte) (State, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return State{}, err
	}
	object := jsonfields.Of(v)
	s := State{DiscoveryPosition: object.Int("pos", 0)}
	s.Memory.LinkRoom = fraction(object.Int("linkRoom", 0))
	s.Memory.Floor = time.Duration(object.Int("floor", 0))
	s.Memory.Purges = decodeRows(object, "purges", purgeColumns, purgeOf)
	s.Memory.Members = decodeRows(object, "members", memberColumns, memberOf)
	s.Memory.Loads = decodeRows(object, "loads", loadColumns, loadOf)
	s.Memory.Objects = decodeRows(object, "objects", objectColumns, objectOf)
	for _, class := range object.Objects("classes") {
		s.Memory.Classes = append(s.Memory.Classes,
			balancer.ClassMemory{Name: class.Text("name", ""), Work: fraction(class.Int("work", 0))})
	}
	return s, object.Err()
}

// decodeRows reads a list whose items are rows of so many numbers.
func decodeRows[T any](object jsonfields.Object, key string, columns int, item func(row []int64) T) []T {
	numbers := object.Ints(key)
	if len(numbers)%columns != 0 {
		object.Fail(key, "has a row that is cut")
		return nil
	}
	var items []T
	for ; len(numbers) > 0; numbers = numbers[columns:] {
		items = append(items, item(numbers[:columns]))
	}
	return items
}

// The rows, and how many numbers each has.
const (
	purgeColumns  = 3
	memberColumns = 9
	loadColumns   = 4
	objectColumns = 7
)

func purgeRow(p balancer.PurgeMemory) []int64 {
	return []int64{flag(p.ByGroup), int64(p.Name), int64(p.At)}
}

func purgeOf(row []int64) balancer.PurgeMemory {
	return balancer.PurgeMemory{ByGroup: row[0] != 0, Name: uint64(row[1]), At: time.Duration(row[2])}
}

func memberRow(m balancer.MemberMemory) []int64 {
	return []int64{int64(m.Node), int64(m.Start), billionths(m.Saved), billionths(m.Misses), int64(m.Fails), flag(m.Bad),
		int64(m.Trial), int64(m.Doubted), billionths(m.Doubt)}
}

func memberOf(row []int64) balancer.MemberMemory {
	return balancer.MemberMemory{Node: balancer.EndpointID(row[0]), Start: time.Duration(row[1]),
		Saved: fraction(row[2]), Misses: fraction(row[3]), Fails: int(row[4]), Bad: row[5] != 0,
		Trial: time.Duration(row[6]), Doubted: time.Duration(row[7]), Doubt: fraction(row[8])}
}

func loadRow(l balancer.LoadMemory) []int64 {
	return []int64{billionths(l.Rate), billionths(l.Peak), billionths(l.Fleet), int64(l.At)}
}

func loadOf(row []int64) balancer.LoadMemory {
	return balancer.LoadMemory{Rate: fraction(row[0]), Peak: fraction(row[1]), Fleet: fraction(row[2]),
		At: time.Duration(row[3])}
}

func objectRow(o balancer.ObjectMemory) []int64 {
	return []int64{int64(o.Object), int64(o.Part), int64(o.Seen), int64(o.OkAt), int64(o.Copied), flag(o.Held),
		billionths(o.Work)}
}

func objectOf(row []int64) balancer.ObjectMemory {
	return balancer.ObjectMemory{Object: uint64(row[0]), Part: uint64(row[1]), Seen: int(row[2]),
		OkAt: time.Duration(row[3]), Copied: time.Duration(row[4]), Held: row[5] != 0, Work: fraction(row[6])}
}

func billionths(f float64) int64 { return int64(f * 1e9) }

func fraction(billionths int64) float64 { return float64(billionths) / 1e9 }

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
