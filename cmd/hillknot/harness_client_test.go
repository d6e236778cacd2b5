package main

import (
	"fmt"
	"maps"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// testClient is a connection of a client to the router.
type testClient struct {
	t       *testing.T
	conn    net.Conn
	decoder *msgpack.Decoder
}

// clientResponse is an answer that a client has read.
type clientResponse struct {
	id        int
	errorCode string // empty if the request was served
	body      string
	fields    map[string]any // fields of the body or the error
}

// content returns the error code, or the body if the request was served.
func (r clientResponse) content() string { return r.errorCode + r.body }

// dial connects a client, which stays connected until the end of the test.
func (r *testRouter) dial() *testClient {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.clientSocket.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	return newTestClient(r.t, conn)
}

func newTestClient(t *testing.T, conn net.Conn) *testClient {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(harnessTimeout)); err != nil {
		t.Fatal(err)
	}
	return &testClient{t: t, conn: conn, decoder: msgpack.NewDecoder(conn)}
}

// encodeRequest returns an encoded request. The name of its object is the id; fields override the default fields.
func encodeRequest(id int, class string, body string, fields map[string]string) []byte {
	hexID := fmt.Sprintf("%016x", id)
	all := map[string]string{"txn": hexID, "limit": "2500", "item": hexID, "nth": "0", "batch": "1"}
	maps.Copy(all, fields)
	b, err := msgpack.Marshal([]any{0, id, class, []any{all, []byte(body)}})
	if err != nil {
		panic(err) // can't happen, because strings and numbers can be encoded
	}
	return b
}

// write sends raw bytes.
func (c *testClient) write(b []byte) {
	c.t.Helper()
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

// request sends a request without a body.
func (c *testClient) request(id int, class string, fields map[string]string) {
	c.t.Helper()
	c.write(encodeRequest(id, class, "", fields))
}

// serveOne sends a request, serves it as the endpoint that gets it, and returns the attempt.
func (r *testRouter) serveOne(client *testClient, id int, class string) endpointMessage {
	r.t.Helper()
	client.request(id, class, nil)
	attempt := r.nextAttempt()
	attempt.serve("x")
	client.expect(id, "x")
	return attempt
}

// cancel cancels requests.
func (c *testClient) cancel(ids ...int) {
	c.t.Helper()
	b, err := msgpack.Marshal([]any{2, "cancel", ids})
	if err != nil {
		c.t.Fatal(err)
	}
	c.write(b)
}

// read reads the next answer.
func (c *testClient) read() (clientResponse, error) {
	var message []any
	if err := c.decoder.Decode(&message); err != nil {
		return clientResponse{}, err
	}
	var response clientResponse
	response.id, _ = strconv.Atoi(fmt.Sprint(message[1]))
	if failure, ok := message[2].([]any); ok {
		response.errorCode, response.fields = failure[0].(string), failure[1].(map[string]any)
		return response, nil
	}
	result := message[3].([]any)
	if ready, ok := result[0].(bool); ok {
		response.body = strconv.FormatBool(ready)
		return response, nil
	}
	response.body, response.fields = string(result[0].([]byte)), result[1].(map[string]any)
	return response, nil
}

// expect reads the next answer and returns its fields. The answer must be to the request id, and its error code or body must be
// want.
func (c *testClient) expect(id int, want string) map[string]any {
	c.t.Helper()
	got, err := c.read()
	if err != nil || got.id != id || got.content() != want {
		c.t.Fatalf("answer to %d: code %q, body %q, error %v; want %q to %d", got.id, got.errorCode, got.body, err, want, id)
	}
	return got.fields
}

// expectReady requests the health of the router, which must be ready. When it returns, the router has also read everything that
// was sent before on this connection.
func (c *testClient) expectReady(id int) {
	c.t.Helper()
	c.requestHealth(id)
	c.expect(id, "true")
}

func (c *testClient) requestHealth(id int) {
	c.t.Helper()
	b, err := msgpack.Marshal([]any{0, id, "health", []any{map[string]string{}}})
	if err != nil {
		c.t.Fatal(err)
	}
	c.write(b)
}
