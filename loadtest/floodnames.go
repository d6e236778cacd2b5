package loadtest

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"

	"hillknot/internal/rpc"
)

// This file holds the peers that send under ever new names: classes, objects, accounts, DNS names, paths.

// unknownClasses sends requests of classes that don't exist, a new one each.
func unknownClasses(b []byte, conn, id uint64) ([]byte, bool) {
	return rpc.AppendRequest(b, id, &rpc.Request{Method: fmt.Sprintf("class-%d-%d", conn, id), Txn: conn<<floodTxnBits | id, Item: id,
		TimeoutMillis: floodTimeout.Milliseconds()}), true
}

// newObjects sends requests for a new object of a new group each.
func newObjects(b []byte, conn, id uint64) ([]byte, bool) {
	return rpc.AppendRequest(b, id, &rpc.Request{Method: classPage, Txn: conn<<floodTxnBits | id, Item: conn<<floodTxnBits | id,
		Batch: uint8(id), Account: fmt.Sprintf("account-%d", id), TimeoutMillis: floodTimeout.Milliseconds()}), true
}

// newOrders sends orders, which may not run twice, under a new id each.
func newOrders(b []byte, conn, id uint64) ([]byte, bool) {
	return rpc.AppendRequest(b, id, &rpc.Request{Method: classOrder, Txn: conn<<floodTxnBits | id, Item: id,
		TimeoutMillis: floodTimeout.Milliseconds()}), true
}

// unsoundRequests sends requests whose fields can't be used.
func unsoundRequests(b []byte, conn, id uint64) ([]byte, bool) {
	return rpc.AppendRequest(b, id, &rpc.Request{Method: classPage, Txn: conn<<floodTxnBits | id, Item: id, TimeoutMillis: 1 << 40}), true
}

// newNameQuery returns a DNS query for a name of its own.
func newNameQuery(id uint64) []byte {
	zone := floodZone
	if id%2 == 0 {
		zone = "elsewhere.example.com"
	}
	b := binary.BigEndian.AppendUint16(nil, uint16(id))
	b = append(b, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for label := range strings.SplitSeq(fmt.Sprintf("n%d.%s", id, zone), ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0, 0, 1, 0, 1) // type A, class IN
}

// newPaths sends requests of operators for a new path each.
func newPaths(_ *floodRun, conn net.Conn) {
	if _, err := fmt.Fprintf(conn, "GET /%p/%s HTTP/1.1\r\nHost: x\r\n\r\n", conn, conn.LocalAddr()); err == nil {
		_, _ = conn.Read(make([]byte, 1)) // the router answers and closes the connection
	}
}
