// Command ask sends one request to a router, as a client does, and prints the answer.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"log"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

func main() {
	addr := flag.String("addr", "127.0.0.1:7001", "address of the router")
	class := flag.String("class", "part-page", "class of the request")
	object := flag.String("object", "7f3a9c21e0b4d655", "the object, 16 hex digits")
	flag.Parse()
	if err := ask(*addr, *class, *object); err != nil {
		log.Fatal(err)
	}
}

func ask(addr, class, object string) error {
	const limit = 3 * time.Second
	nc, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return err
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	var txn [8]byte
	if _, err := rand.Read(txn[:]); err != nil {
		return err
	}
	fields := map[string]string{"txn": hex.EncodeToString(txn[:]), "limit": fmt.Sprint(limit.Milliseconds()),
		"item": object, "nth": "0", "batch": "0"}
	if err := msgpack.NewEncoder(nc).Encode([]any{0, 1, class, []any{fields, []byte{}}}); err != nil {
		return err
	}
	var answer []any
	if err := msgpack.NewDecoder(nc).Decode(&answer); err != nil {
		return err
	}
	if len(answer) != 4 {
		return fmt.Errorf("an answer of %d parts", len(answer))
	}
	if answer[2] != nil {
		return fmt.Errorf("not served: %v", answer[2])
	}
	result, ok := answer[3].([]any)
	if !ok || len(result) == 0 {
		return fmt.Errorf("result %v", answer[3])
	}
	fmt.Printf("%s", result[0])
	return nil
}
