package dns

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"time"

	"hillknot/internal/core"
)

// maxReplyTCP is the length of the longest reply over TCP, in bytes.
const maxReplyTCP = 1<<16 - 1

// exchange is a query and the state that is needed to answer it.
type exchange struct {
	server *Server
	query  query
	zone   string       // the configured name that the query is for
	size   int          // of the longest reply, in bytes
	send   func([]byte) // sends the reply, or none if that is nil; called once
}

// handle answers one message by calling send once, with nil if the message gets no reply. It may call send after it has
// returned, but does not use b then: what it still needs is copied.
func (s *Server) handle(b []byte, from netip.AddrPort, udp bool, send func([]byte)) {
	q, ok, err := parseQuery(b)
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
	zone, subdomain, inZone := s.findZone(q.name)
	x.zone = zone
	if code := rejectionCode(q, inZone); code != codeOK {
		x.replyCode(code)
		return
	}
	x.resolve(subdomain, from)
}

// rejectionCode returns the response code for a query that this server does not resolve, or codeOK for any other query.
// inZone reports whether the queried name equals a configured name or lies below it.
func rejectionCode(q query, inZone bool) int {
	switch {
	case q.flags&opcodeMask != 0:
		return codeNotImp
	case q.edns && q.ednsVersion != 0:
		return codeBadVers
	case !inZone || q.qclass != classIN && q.qclass != classANY:
		return codeRefused
	}
	return codeOK
}

// resolve asks the core for page caches: for any, or for the one that the label below the zone names.
func (x *exchange) resolve(subdomain string, from netip.AddrPort) {
	onlyEndpoint, known := parseLabel(subdomain)
	switch isSubdomain := subdomain != ""; {
	case !known:
		x.replyNegative(codeNXDomain)
		return
	case x.query.qtype != typeA && x.query.qtype != typeAAAA && (x.query.qtype != typeSRV || isSubdomain):
		x.replyNegative(codeOK)
		return
	}
	if x.server.openQueries.Add(1) > int64(x.server.limits.OpenQueries) { // the core takes queries in its own time
		x.server.openQueries.Add(-1)
		x.replyCode(codeServFail)
		return
	}
	x.query.question = append([]byte(nil), x.query.question...)
	cfg := x.server.cfg
	x.server.core.Post(func() {
		x.server.core.Resolve(core.EndpointQuery{
			Key:          clientKey(x.query, from),
			MaxEndpoints: cfg.MaxAnswers,
			OnlyEndpoint: onlyEndpoint,
			Load:         cfg.ResolverLoad,
			TTL:          time.Duration(float64(cfg.TTL) * cfg.TTLOverstay),
			Timeout:      cfg.Timeout,
			Reply:        x.reply,
		})
	})
}

// clientKey returns the hash that identifies a group of clients. It is the hash of the clients' subnet if the resolver
// sends that, or else of the resolver's address.
func clientKey(q query, from netip.AddrPort) uint64 {
	addr := from.Addr().Unmap()
	if q.hasSubnet && q.subnet.Bits() > 0 {
		addr = q.subnet.Addr()
	}
	h := fnv.New64a()
	_, _ = h.Write(addr.AsSlice()) // a hash never returns an error
	return h.Sum64()
}

// reply answers the query with the page caches that the core has chosen, or with an error code if there are none.
func (x *exchange) reply(result core.QueryResult) {
	x.server.openQueries.Add(-1)
	if len(result.Endpoints) == 0 {
		x.replyCode(codeServFail)
		return
	}
	r := newReply(x.query, codeOK)
	for i, e := range result.Endpoints {
		x.appendAnswer(r, i, e)
	}
	if r.count[answerSection] == 0 {
		x.replyNegative(codeOK)
		return
	}
	if x.query.qtype == typeSRV {
		for _, e := range result.Endpoints {
			x.appendAddress(r, e)
		}
	}
	x.send(r.finish(x.query, codeOK, x.size))
}

// appendAnswer appends the record for an endpoint, if the endpoint has one of the queried type.
func (x *exchange) appendAnswer(r *reply, priority int, e *core.Endpoint) {
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return // an endpoint without a valid address has no record
	}
	if x.query.qtype == typeSRV {
		var data []byte
		for _, field := range []uint16{uint16(priority), 0, addr.Port()} { // priority, weight, port
			data = binary.BigEndian.AppendUint16(data, field)
		}
		r.appendRecord(answerSection, x.query.name, typeSRV, classIN, x.ttl(), appendName(data, endpointLabel(e)+"."+x.zone))
		return
	}
	if rtype, data := addressRecord(addr.Addr()); rtype == x.query.qtype {
		r.appendRecord(answerSection, x.query.name, rtype, classIN, x.ttl(), data)
	}
}

// appendAddress appends the address record of an endpoint that an SRV record of the reply names.
func (x *exchange) appendAddress(r *reply, e *core.Endpoint) {
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return
	}
	rtype, data := addressRecord(addr.Addr())
	r.appendRecord(additionalSection, endpointLabel(e)+"."+x.zone, rtype, classIN, x.ttl(), data)
}

// ttl returns the TTL of all records, in seconds.
func (x *exchange) ttl() uint32 { return uint32(x.server.cfg.TTL / time.Second) }

// replyCode answers the query with a response code and no records.
func (x *exchange) replyCode(code int) { x.send(newReply(x.query, code).finish(x.query, code, x.size)) }

// replyNegative answers that there is no such record. The SOA record of the reply says for how long resolvers may cache
// that.
func (x *exchange) replyNegative(code int) {
	const serial, refresh, retry, expire = 1, 3600, 600, 86400 // these values are unused, as there are no secondary servers
	r := newReply(x.query, code)
	data := appendName(appendName(nil, "ns."+x.zone), "hostmaster."+x.zone)
	for _, field := range []uint32{serial, refresh, retry, expire, x.ttl()} {
		data = binary.BigEndian.AppendUint32(data, field)
	}
	r.appendRecord(authoritySection, x.zone, typeSOA, classIN, x.ttl(), data)
	x.send(r.finish(x.query, code, x.size))
}

// addressRecord returns the type and the data of the record that holds an address.
func addressRecord(a netip.Addr) (rtype uint16, data []byte) {
	if a = a.Unmap(); a.Is4() {
		return typeA, a.AsSlice()
	}
	return typeAAAA, a.AsSlice()
}
