package netio

import (
	"net"
	"testing"
)

// BenchmarkEcho measures the round trip of one message and its echo on an accepted connection.
func BenchmarkEcho(b *testing.B) {
	s, err := Listen("127.0.0.1:0", 10, testLimits, NewBudget(1<<20), newEcho)
	if err != nil {
		b.Fatal(err)
	}
	go s.Serve()
	b.Cleanup(s.Close)
	client, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { client.Close() })
	message, buf := []byte("hi\n"), make([]byte, 3)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := client.Read(buf); err != nil {
			b.Fatal(err)
		}
	}
}
