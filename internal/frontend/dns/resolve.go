package dns

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"time"

	"hillknot/internal/core"
)

// maxReplyTCP is the longest reply over TCP, in bytes.
const maxReplyTCP = 1<<16 - 1

// exchange is one query and the way to answer it.
type exchange struct {
	server *Server
	query  query
	zone   string       // the configured name that the query is for
	size   int          // of the longest reply, in bytes
	send   func([]byte) // called once; nil: the query deserves no reply
}

// handle answers one message by calling send once, with nil where it deserves no reply. What outlives the call is copied.
func (s *Server) handle(b []byte, from netip.AddrPort, udp bool, send func([]byte)) {
	q, ok, err := parse(b)
	if !ok {
		send(nil)
		return
	}
	x := &exchange{server: s, query: q, size: maxReplyTCP, send: send}
	if udp {
		x.size = q.size
	}
	if err != nil {
		x.query.question, x.query.edns = nil, false
		x.replyCode(codeFormErr)
		return
	}
	zone, below, ours := s.findZone(q.name)
	x.zone = zone
	if code := refusal(q, ours); code != codeOK {
		x.replyCode(code)
		return
	}
	x.resolve(below, from)
}

// refusal is the code for a query that is not for this server; codeOK: it is.
func refusal(q query, ours bool) int {
	switch {
	case q.flags&opcodeMask != 0:
		return codeNotImp
	case q.edns && q.version != 0:
		return codeBadVers
	case !ours || q.qclass != classIN && q.qclass != classANY:
		return codeRefused
	}
	return codeOK
}

// resolve asks the core for page caches: any, or the one that a label below the zone names.
func (x *exchange) resolve(below string, from netip.AddrPort) {
	only, known := parseLabel(below)
	switch hostName := below != ""; {
	case !known:
		x.replyNoRecord(codeNXDomain)
		return
	case x.query.qtype != typeA && x.query.qtype != typeAAAA && (x.query.qtype != typeSRV || hostName):
		x.replyNoRecord(codeOK)
		return
	}
	x.query.question = append([]byte(nil), x.query.question...)
	cfg := x.server.cfg
	x.server.core.Post(func() {
		x.server.core.Resolve(core.EndpointQuery{
			Key:          clientKey(x.query, from),
			MaxEndpoints: cfg.MaxAnswers,
			OnlyEndpoint: only,
			Load:         cfg.ResolverLoad,
			TTL:          time.Duration(float64(cfg.TTL) * cfg.TTLOverstay),
			Timeout:      cfg.Timeout,
			Reply:        x.reply,
		})
	})
}

// clientKey hashes what tells clients apart: their subnet, where the resolver tells it, or else the resolver.
func clientKey(q query, from netip.AddrPort) uint64 {
	addr := from.Addr().Unmap()
	if q.hasSubnet && q.subnet.Bits() > 0 {
		addr = q.subnet.Addr()
	}
	h := fnv.New64a()
	_, _ = h.Write(addr.AsSlice()) // it can't fail
	return h.Sum64()
}

// reply answers with the page caches that the core has chosen.
func (x *exchange) reply(result core.QueryResult) {
	if len(result.Endpoints) == 0 {
		x.replyCode(codeServFail)
		return
	}
	r := newReply(x.query, codeOK)
	for i, e := range result.Endpoints {
		x.appendAnswer(r, i, e)
	}
	if r.count[answerSection] == 0 {
		x.replyNoRecord(codeOK)
		return
	}
	if x.query.qtype == typeSRV {
		for _, e := range result.Endpoints {
			x.appendAddress(r, e)
		}
	}
	x.send(r.finish(x.query, codeOK, x.size))
}

// appendAnswer appends the record that names an endpoint, where it has one of the type that is asked for.
func (x *exchange) appendAnswer(r *reply, priority int, e *core.Endpoint) {
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return // an endpoint without a valid address can't be named
	}
	if x.query.qtype == typeSRV {
		var data []byte
		for _, field := range []uint16{uint16(priority), 0, addr.Port()} { // priority, weight, port
			data = binary.BigEndian.AppendUint16(data, field)
		}
		r.record(answerSection, x.query.name, typeSRV, classIN, x.ttl(), appendName(data, label(e)+"."+x.zone))
		return
	}
	if rtype, data := addressRecord(addr.Addr()); rtype == x.query.qtype {
		r.record(answerSection, x.query.name, rtype, classIN, x.ttl(), data)
	}
}

// appendAddress appends the address of an endpoint that an SRV record names.
func (x *exchange) appendAddress(r *reply, e *core.Endpoint) {
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return
	}
	rtype, data := addressRecord(addr.Addr())
	r.record(additionalSection, label(e)+"."+x.zone, rtype, classIN, x.ttl(), data)
}

func (x *exchange) ttl() uint32 { return uint32(x.server.cfg.TTL / time.Second) }

// replyCode answers with a code alone.
func (x *exchange) replyCode(code int) { x.send(newReply(x.query, code).finish(x.query, code, x.size)) }

// replyNoRecord says that there is no such record, with the SOA record that tells for how long that holds.
func (x *exchange) replyNoRecord(code int) {
	const serial, refresh, retry, expire = 1, 3600, 600, 86400 // no secondary server reads them
	r := newReply(x.query, code)
	data := appendName(appendName(nil, "ns."+x.zone), "hostmaster."+x.zone)
	for _, field := range []uint32{serial, refresh, retry, expire, x.ttl()} {
		data = binary.BigEndian.AppendUint32(data, field)
	}
	r.record(authoritySection, x.zone, typeSOA, classIN, x.ttl(), data)
	x.send(r.finish(x.query, code, x.size))
}

func addressRecord(a netip.Addr) (rtype uint16, data []byte) {
	if a = a.Unmap(); a.Is4() {
		return typeA, a.AsSlice()
	}
	return typeAAAA, a.AsSlice()
}
