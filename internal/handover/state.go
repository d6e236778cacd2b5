package handover

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/balancer"
	"hillknot/internal/jsonfields"
)

// State is the state that a predecessor hands over.
type State struct {
	DiscoveryPosition int64 // position in the event log of discovery
	Snapshot          balancer.Snapshot
	// RequestIDs are the ids of recent requests that may have run, where a second run may do harm. nil: the predecessor is of an
	// earlier release, which does not hand them over.
	RequestIDs []string
}

// A State is encoded as JSON. Processes of other releases pass over keys that they do not know. Each list of a Snapshot is one array of integers, in which the rows follow each other. Ids
// are encoded as they are, times in nanoseconds, and fractional numbers, such as shares and seconds, in billionths. The
// order of the columns must not change, as processes of other releases read it.

// encode returns the encoded state.
func encode(s State) []byte {
	var e encoder
	e.object = e.arena.NewObject()
	e.setInt("pos", s.DiscoveryPosition)
	e.setInt("linkRoom", toBillionths(s.Snapshot.LinkLimit))
	e.setInt("floor", int64(s.Snapshot.PurgeFloor))
	encodeRows(&e, "purges", s.Snapshot.Purges, purgeRow)
	encodeRows(&e, "members", s.Snapshot.Endpoints, endpointRow)
	encodeRows(&e, "loads", s.Snapshot.Loads, loadRow)
	encodeRows(&e, "objects", s.Snapshot.Objects, objectRow)
	e.setClasses("classes", s.Snapshot.Classes)
	e.setStrings("requests", s.RequestIDs)
	return e.object.MarshalTo(nil)
}

// encoder builds one JSON object.
type encoder struct {
	arena  fastjson.Arena
	object *fastjson.Value
}

func (e *encoder) number(v int64) *fastjson.Value {
	return e.arena.NewNumberString(strconv.FormatInt(v, 10))
}

func (e *encoder) setInt(key string, v int64) { e.object.Set(key, e.number(v)) }

func (e *encoder) setClasses(key string, classes []balancer.ClassSnapshot) {
	list := e.arena.NewArray()
	for i, c := range classes {
		class := e.arena.NewObject()
		class.Set("name", e.arena.NewString(c.Name))
		class.Set("work", e.number(toBillionths(c.ServiceTime)))
		list.SetArrayItem(i, class)
	}
	e.object.Set(key, list)
}

// setStrings sets a key to a list, unless the list is nil.
func (e *encoder) setStrings(key string, items []string) {
	if items == nil {
		return
	}
	list := e.arena.NewArray()
	for i, item := range items {
		list.SetArrayItem(i, e.arena.NewString(item))
	}
	e.object.Set(key, list)
}

// encodeRows sets a key to a list. toRow returns the numbers of the row of an item.
func encodeRows[T any](e *encoder, key string, items []T, toRow func(T) []int64) {
	list := e.arena.NewArray()
	for _, item := range items {
		for _, v := range toRow(item) {
			list.SetArrayItem(len(list.GetArray()), e.number(v))
		}
	}
	e.object.Set(key, list)
}

// decode reads an encoded state. It returns an error for malformed input. Values that are out of range are no error, as
// package balancer corrects them.
func decode(encoded []byte) (State, error) {
	v, err := fastjson.ParseBytes(encoded)
	if err != nil {
		return State{}, err
	}
	object := jsonfields.FromValue(v)
	s := State{DiscoveryPosition: object.Int("pos", 0)}
	s.Snapshot.LinkLimit = fromBillionths(object.Int("linkRoom", 0))
	s.Snapshot.PurgeFloor = time.Duration(object.Int("floor", 0))
	s.Snapshot.Purges = decodeRows(object, "purges", purgeColumns, purgeFromRow)
	s.Snapshot.Endpoints = decodeRows(object, "members", endpointColumns, endpointFromRow)
	s.Snapshot.Loads = decodeRows(object, "loads", loadColumns, loadFromRow)
	s.Snapshot.Objects = decodeRows(object, "objects", objectColumns, objectFromRow)
	for _, class := range object.Objects("classes") {
		s.Snapshot.Classes = append(s.Snapshot.Classes,
			balancer.ClassSnapshot{Name: class.String("name", ""), ServiceTime: fromBillionths(class.Int("work", 0))})
	}
	if object.Has("requests") {
		s.RequestIDs = append([]string{}, object.Strings("requests")...)
	}
	return s, object.Err()
}

// decodeRows reads a list whose rows have the given number of columns. fromRow converts a row into an item.
func decodeRows[T any](object jsonfields.Object, key string, columns int, fromRow func(row []int64) T) []T {
	numbers := object.Ints(key)
	if len(numbers)%columns != 0 {
		object.Fail(key, "has an incomplete row")
		return nil
	}
	var items []T
	for ; len(numbers) > 0; numbers = numbers[columns:] {
		items = append(items, fromRow(numbers[:columns]))
	}
	return items
}

// The number of columns of each kind of row. The function that returns the row, such as purgeRow, defines the columns.
const (
	purgeColumns    = 3
	endpointColumns = 9
	loadColumns     = 4
	objectColumns   = 7
)

func purgeRow(p balancer.PurgeSnapshot) []int64 {
	return []int64{flag(p.ByGroup), int64(p.ID), int64(p.PurgedAt)}
}

func purgeFromRow(row []int64) balancer.PurgeSnapshot {
	return balancer.PurgeSnapshot{
		ByGroup:  row[0] != 0,
		ID:       uint64(row[1]),
		PurgedAt: time.Duration(row[2]),
	}
}

func endpointRow(e balancer.EndpointSnapshot) []int64 {
	return []int64{
		int64(e.ID), int64(e.StartedAt), toBillionths(e.WarmUpBudget), toBillionths(e.MissRate),
		int64(e.ConsecutiveFailures), flag(e.Ejected), int64(e.NextProbe),
		int64(e.PenalizedAt), toBillionths(e.Penalty),
	}
}

func endpointFromRow(row []int64) balancer.EndpointSnapshot {
	return balancer.EndpointSnapshot{
		ID:                  balancer.EndpointID(row[0]),
		StartedAt:           time.Duration(row[1]),
		WarmUpBudget:        fromBillionths(row[2]),
		MissRate:            fromBillionths(row[3]),
		ConsecutiveFailures: int(row[4]),
		Ejected:             row[5] != 0,
		NextProbe:           time.Duration(row[6]),
		PenalizedAt:         time.Duration(row[7]),
		Penalty:             fromBillionths(row[8]),
	}
}

func loadRow(l balancer.LoadSnapshot) []int64 {
	return []int64{toBillionths(l.Rate), toBillionths(l.Peak), toBillionths(l.PeakCapacity), int64(l.UpdatedAt)}
}

func loadFromRow(row []int64) balancer.LoadSnapshot {
	return balancer.LoadSnapshot{
		Rate:         fromBillionths(row[0]),
		Peak:         fromBillionths(row[1]),
		PeakCapacity: fromBillionths(row[2]),
		UpdatedAt:    time.Duration(row[3]),
	}
}

func objectRow(o balancer.ObjectSnapshot) []int64 {
	return []int64{
		int64(o.Object), int64(o.Part), int64(o.RequestCount), int64(o.ServedAt), int64(o.ReplicatedAt),
		flag(o.CachedAtHome), toBillionths(o.ServiceTime),
	}
}

func objectFromRow(row []int64) balancer.ObjectSnapshot {
	return balancer.ObjectSnapshot{
		Object:       uint64(row[0]),
		Part:         uint64(row[1]),
		RequestCount: int(row[2]),
		ServedAt:     time.Duration(row[3]),
		ReplicatedAt: time.Duration(row[4]),
		CachedAtHome: row[5] != 0,
		ServiceTime:  fromBillionths(row[6]),
	}
}

// toBillionths converts a number into billionths.
func toBillionths(f float64) int64 { return int64(f * 1e9) }

// fromBillionths converts billionths into a number.
func fromBillionths(billionths int64) float64 { return float64(billionths) / 1e9 }

// flag returns 1 for true and 0 for false.
func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
