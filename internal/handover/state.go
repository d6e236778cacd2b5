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
	Snapshot          balancer.Snapshot
}

// A State is written as JSON. The lists of a Snapshot are rows of whole numbers, one behind the other: ids as they
// are, times in nanoseconds, shares and seconds in billionths. Processes of other releases read it: the order of
// the columns stays.

// encode writes a state.
func encode(s State) []byte {
	var e encoder
	e.object = e.arena.NewObject()
	e.integer("pos", s.DiscoveryPosition)
	e.integer("linkRoom", billionths(s.Snapshot.LinkLimit))
	e.integer("floor", int64(s.Snapshot.PurgeFloor))
	encodeRows(&e, "purges", s.Snapshot.Purges, purgeRow)
	encodeRows(&e, "members", s.Snapshot.Endpoints, endpointRow)
	encodeRows(&e, "loads", s.Snapshot.Loads, loadRow)
	encodeRows(&e, "objects", s.Snapshot.Objects, objectRow)
	e.classes("classes", s.Snapshot.Classes)
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

func (e *encoder) classes(key string, classes []balancer.ClassSnapshot) {
	list := e.arena.NewArray()
	for i, c := range classes {
		class := e.arena.NewObject()
		class.Set("name", e.arena.NewString(c.Name))
		class.Set("work", e.number(billionths(c.ServiceTime)))
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
	object := jsonfields.FromValue(v)
	s := State{DiscoveryPosition: object.Int("pos", 0)}
	s.Snapshot.LinkLimit = fraction(object.Int("linkRoom", 0))
	s.Snapshot.PurgeFloor = time.Duration(object.Int("floor", 0))
	s.Snapshot.Purges = decodeRows(object, "purges", purgeColumns, purgeOf)
	s.Snapshot.Endpoints = decodeRows(object, "members", endpointColumns, endpointOf)
	s.Snapshot.Loads = decodeRows(object, "loads", loadColumns, loadOf)
	s.Snapshot.Objects = decodeRows(object, "objects", objectColumns, objectOf)
	for _, class := range object.Objects("classes") {
		s.Snapshot.Classes = append(s.Snapshot.Classes,
			balancer.ClassSnapshot{Name: class.String("name", ""), ServiceTime: fraction(class.Int("work", 0))})
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

// How many numbers a row has. Its columns are those of the function that writes it.
const (
	purgeColumns    = 3
	endpointColumns = 9
	loadColumns     = 4
	objectColumns   = 7
)

func purgeRow(p balancer.PurgeSnapshot) []int64 {
	return []int64{flag(p.ByGroup), int64(p.ID), int64(p.PurgedAt)}
}

func purgeOf(row []int64) balancer.PurgeSnapshot {
	return balancer.PurgeSnapshot{
		ByGroup:  row[0] != 0,
		ID:       uint64(row[1]),
		PurgedAt: time.Duration(row[2]),
	}
}

func endpointRow(e balancer.EndpointSnapshot) []int64 {
	return []int64{
		int64(e.ID), int64(e.StartedAt), billionths(e.WarmUpBudget), billionths(e.MissRate),
		int64(e.ConsecutiveFailures), flag(e.Ejected), int64(e.NextProbe),
		int64(e.PenalizedAt), billionths(e.Penalty),
	}
}

func endpointOf(row []int64) balancer.EndpointSnapshot {
	return balancer.EndpointSnapshot{
		ID:                  balancer.EndpointID(row[0]),
		StartedAt:           time.Duration(row[1]),
		WarmUpBudget:        fraction(row[2]),
		MissRate:            fraction(row[3]),
		ConsecutiveFailures: int(row[4]),
		Ejected:             row[5] != 0,
		NextProbe:           time.Duration(row[6]),
		PenalizedAt:         time.Duration(row[7]),
		Penalty:             fraction(row[8]),
	}
}

func loadRow(l balancer.LoadSnapshot) []int64 {
	return []int64{billionths(l.Rate), billionths(l.Peak), billionths(l.PeakCapacity), int64(l.UpdatedAt)}
}

func loadOf(row []int64) balancer.LoadSnapshot {
	return balancer.LoadSnapshot{
		Rate:         fraction(row[0]),
		Peak:         fraction(row[1]),
		PeakCapacity: fraction(row[2]),
		UpdatedAt:    time.Duration(row[3]),
	}
}

func objectRow(o balancer.ObjectSnapshot) []int64 {
	return []int64{
		int64(o.Object), int64(o.Part), int64(o.RequestCount), int64(o.ServedAt), int64(o.ReplicatedAt),
		flag(o.CachedAtHome), billionths(o.ServiceTime),
	}
}

func objectOf(row []int64) balancer.ObjectSnapshot {
	return balancer.ObjectSnapshot{
		Object:       uint64(row[0]),
		Part:         uint64(row[1]),
		RequestCount: int(row[2]),
		ServedAt:     time.Duration(row[3]),
		ReplicatedAt: time.Duration(row[4]),
		CachedAtHome: row[5] != 0,
		ServiceTime:  fraction(row[6]),
	}
}

func billionths(f float64) int64 { return int64(f * 1e9) }

func fraction(billionths int64) float64 { return float64(billionths) / 1e9 }

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
