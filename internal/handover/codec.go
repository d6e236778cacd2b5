package handover

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"hillknot/balancer"
	"hillknot/internal/jsonfields"
)

// version is of the messages and of what is in them. A process that meets another takes nothing over.
const version = 2

var (
	errBad     = errors.New("malformed message")
	errTooLong = errors.New("message over the limit")
)

// message is WORD VERSION LENGTH, a line feed, and so many bytes. Its slices are of the buffer it was read from.
type message struct {
	word    []byte
	version uint64
	body    []byte
}

const maxLine = 64

// parse reads the message at the start of buf. It returns its length, or 0 where it is not whole yet, with the
// length that is needed, as far as that is known.
func parse(buf []byte, max int) (m message, n, want int, err error) {
	end := bytes.IndexByte(buf, '\n')
	if end > maxLine || end < 0 && len(buf) > maxLine {
		return m, 0, 0, errTooLong
	}
	if end < 0 {
		return m, 0, 0, nil
	}
	words := bytes.Split(buf[:end], []byte(" "))
	if len(words) != 3 || len(words[0]) == 0 {
		return m, 0, 0, errBad
	}
	m.word = words[0]
	if m.version, err = strconv.ParseUint(string(words[1]), 10, 16); err != nil {
		return m, 0, 0, errBad
	}
	size, err := strconv.ParseUint(string(words[2]), 10, 31)
	if err != nil {
		return m, 0, 0, errBad
	}
	if size > uint64(max) {
		return m, 0, 0, errTooLong
	}
	if n = end + 1 + int(size); len(buf) < n {
		return m, 0, n, nil
	}
	m.body = buf[end+1 : n : n]
	return m, n, 0, nil
}

func appendMessage(b []byte, word string, body []byte) []byte {
	return append(fmt.Appendf(b, "%s %d %d\n", word, version, len(body)), body...)
}

// State is what is handed over.
type State struct {
	Pos    int64 // of the journal
	Memory balancer.Memory
}

// A Memory is written as rows of whole numbers: ids as they are, times in nanoseconds, shares and seconds in
// billionths.
const (
	purgeRow  = 3
	memberRow = 9
	loadRow   = 4
	objectRow = 7
)

func billionths(f float64) int64 { return int64(f * 1e9) }

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// encode writes the state as JSON.
func encode(s State) []byte {
	var a fastjson.Arena
	o, m := a.NewObject(), s.Memory
	rows := func(name string, n int, row func(i int) []int64) {
		list := a.NewArray()
		for i := range n {
			for _, v := range row(i) {
				list.SetArrayItem(len(list.GetArray()), a.NewNumberString(strconv.FormatInt(v, 10)))
			}
		}
		o.Set(name, list)
	}
	one := func(name string, v int64) { o.Set(name, a.NewNumberString(strconv.FormatInt(v, 10))) }
	one("pos", s.Pos)
	one("linkRoom", billionths(m.LinkRoom))
	one("floor", int64(m.Floor))
	rows("purges", len(m.Purges), func(i int) []int64 {
		p := m.Purges[i]
		return []int64{flag(p.ByGroup), int64(p.Name), int64(p.At)}
	})
	rows("members", len(m.Members), func(i int) []int64 {
		t := m.Members[i]
		return []int64{int64(t.Node), int64(t.Start), billionths(t.Saved), billionths(t.Misses), int64(t.Fails), flag(t.Bad),
			int64(t.Trial), int64(t.Doubted), billionths(t.Doubt)}
	})
	rows("loads", len(m.Loads), func(i int) []int64 {
		l := m.Loads[i]
		return []int64{billionths(l.Rate), billionths(l.Peak), billionths(l.Fleet), int64(l.At)}
	})
	rows("objects", len(m.Objects), func(i int) []int64 {
		t := m.Objects[i]
		return []int64{int64(t.Object), int64(t.Part), int64(t.Seen), int64(t.OkAt), int64(t.Copied), flag(t.Held), billionths(t.Work)}
	})
	classes := a.NewArray()
	for i, c := range m.Classes {
		k := a.NewObject()
		k.Set("name", a.NewString(c.Name))
		k.Set("work", a.NewNumberString(strconv.FormatInt(billionths(c.Work), 10)))
		classes.SetArrayItem(i, k)
	}
	o.Set("classes", classes)
	return o.MarshalTo(nil)
}

// decode reads a state. Figures that make no sense are the module's to cut; a text that can't be read is an error.
func decode(text []byte) (s State, err error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return s, err
	}
	o, m := jsonfields.Of(v), &s.Memory
	rows := func(name string, width int, take func(r []int64)) {
		all := o.Ints(name)
		if len(all)%width != 0 {
			o.Fail(name, "has a row that is cut")
			return
		}
		for ; len(all) > 0; all = all[width:] {
			take(all[:width])
		}
	}
	part := func(v int64) float64 { return float64(v) / 1e9 }
	s.Pos, m.LinkRoom, m.Floor = o.Int("pos", 0), part(o.Int("linkRoom", 0)), time.Duration(o.Int("floor", 0))
	rows("purges", purgeRow, func(r []int64) {
		m.Purges = append(m.Purges, balancer.PurgeMemory{ByGroup: r[0] != 0, Name: uint64(r[1]), At: time.Duration(r[2])})
	})
	rows("members", memberRow, func(r []int64) {
		m.Members = append(m.Members, balancer.MemberMemory{Node: balancer.EndpointID(r[0]), Start: time.Duration(r[1]), Saved: part(r[2]),
			Misses: part(r[3]), Fails: int(r[4]), Bad: r[5] != 0, Trial: time.Duration(r[6]), Doubted: time.Duration(r[7]), Doubt: part(r[8])})
	})
	rows("loads", loadRow, func(r []int64) {
		m.Loads = append(m.Loads, balancer.LoadMemory{Rate: part(r[0]), Peak: part(r[1]), Fleet: part(r[2]), At: time.Duration(r[3])})
	})
	rows("objects", objectRow, func(r []int64) {
		m.Objects = append(m.Objects, balancer.ObjectMemory{Object: uint64(r[0]), Part: uint64(r[1]), Seen: int(r[2]), OkAt: time.Duration(r[3]),
			Copied: time.Duration(r[4]), Held: r[5] != 0, Work: part(r[6])})
	})
	for _, k := range o.Objects("classes") {
		m.Classes = append(m.Classes, balancer.ClassMemory{Name: k.Text("name", ""), Work: part(k.Int("work", 0))})
	}
	return s, o.Err()
}
