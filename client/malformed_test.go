package client

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hillknot/internal/rpc"
	_ "hillknot/internal/testutil/parsertest" // sets rapid's seed
)

// failer is the part of testing.TB that *testing.T and *rapid.T have in common and that the tests need.
type failer interface {
	Helper()
	Fatal(...any)
	Fatalf(string, ...any)
}

const maxTestAnswer = 1 << 12

// doWithResponse sends a request that must not be repeated to a router that answers the health check, sends the given
// bytes and closes the connection.
func doWithResponse(t failer, response []byte) (Response, error) {
	t.Helper()
	c, err := New(Config{
		Routers:   []string{"127.0.0.1:1"},
		MaxAnswer: maxTestAnswer,
		Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go respondOnce(far, response)
			return near, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	got, doErr := c.Do(context.Background(), Request{Class: "new-arrange", Limit: time.Second})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := c.Close(ctx); err != nil {
		t.Fatal(err)
	}
	return got, doErr
}

// respondOnce acts as a router for one health check and one request.
func respondOnce(nc net.Conn, response []byte) {
	defer nc.Close()
	in := make([]byte, 1<<12)
	if _, err := nc.Read(in); err != nil {
		return
	}
	if _, err := nc.Write(rpc.AppendHealthResponse(nil, 1, true)); err != nil {
		return
	}
	if _, err := nc.Read(in); err == nil {
		_, _ = nc.Write(response) // it fails if the client finds the start malformed and closes the connection
	}
}

// checkOutcome checks what must hold for a request that must not be repeated, for any response of the router.
func checkOutcome(t failer, sent []byte, response Response, err error) {
	t.Helper()
	var e *Error
	switch {
	case err == nil && len(response.Body) > maxTestAnswer:
		t.Fatalf("response %q: body of %d bytes is over the limit", sent, len(response.Body))
	case err != nil && !errors.As(err, &e):
		t.Fatalf("response %q: error %v is not an *Error", sent, err)
	case errors.Is(err, ErrLost) && !errors.Is(err, ErrMayHaveRun):
		t.Fatalf("response %q: lost, but reported as not run: %v", sent, err)
	}
}

// drawResponse draws a response of any kind, or random bytes.
func drawResponse(t *rapid.T) []byte {
	id := rapid.Uint64Range(0, 3).Draw(t, "id")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		body := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "body")
		return rpc.AppendBodyResponse(nil, id, body, rpc.Field{Name: rpc.FieldNotModified, Value: "1"})
	case 1:
		code := rapid.StringN(0, 20, 40).Draw(t, "code")
		retryAfter := rapid.StringN(0, 9, 9).Draw(t, "retry after")
		return rpc.AppendErrorResponse(nil, id, code, rpc.Field{Name: rpc.FieldRetryAfter, Value: retryAfter})
	case 2:
		return rpc.AppendHealthResponse(nil, id, rapid.Bool().Draw(t, "ready"))
	}
	return rapid.SliceOfN(rapid.Byte(), 1, 100).Draw(t, "garbage")
}

// Malformed responses never end in a panic, in a body over the limit, or in an error that hides that the request may
// have run.
func TestMalformedResponsesEndInValidOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		response := append(drawResponse(t), drawResponse(t)...)
		for range rapid.IntRange(0, 3).Draw(t, "changed bytes") {
			response[rapid.IntRange(0, len(response)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		got, err := doWithResponse(t, response)
		checkOutcome(t, response, got, err)
	})
}

func TestMalformedResponseIsReportedAsLost(t *testing.T) {
	for name, response := range map[string][]byte{
		"body over the limit":              rpc.AppendBodyResponse(nil, 2, make([]byte, maxTestAnswer+1)),
		"body of two gigabytes":            {0x94, 1, 2, 0xc0, 0x92, 0xc6, 0x7f, 0xff, 0xff, 0xff},
		"id that was never used":           rpc.AppendBodyResponse(nil, 99, nil),
		"endless nesting":                  bytes.Repeat([]byte{0x94}, 1<<14),
		"notification instead of response": {0x93, 2, 0xa1, 'x', 0x90},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := doWithResponse(t, response); !errors.Is(err, ErrLost) || !errors.Is(err, ErrMayHaveRun) {
				t.Errorf("response %.20q: got error %v, want ErrLost and ErrMayHaveRun", response, err)
			}
		})
	}
}

func FuzzResponse(f *testing.F) {
	for _, seed := range [][]byte{
		rpc.AppendBodyResponse(nil, 2, []byte("body"), rpc.Field{Name: rpc.FieldNotModified, Value: "1"}),
		rpc.AppendErrorResponse(nil, 2, rpc.CodeThrottled, rpc.Field{Name: rpc.FieldRetryAfter, Value: "9"}),
		rpc.AppendHealthResponse(nil, 2, false),
		{0x94, 1, 2, 0xc0, 0x92, 0xc6, 0x7f, 0xff, 0xff, 0xff},
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		got, err := doWithResponse(t, response)
		checkOutcome(t, response, got, err)
	})
}
