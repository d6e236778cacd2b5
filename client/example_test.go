package client_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hillknot/client"
	"hillknot/internal/rpc"
	"hillknot/internal/testutil/fakes"
)

// router starts a router that serves pages, and rejects orders with a Retry-After.
func router() *fakes.Router {
	r, err := fakes.NewReadyRouter("127.0.0.1:0", func(conn *fakes.ClientConn, m rpc.Message) {
		if string(m.Method) == "new-arrange" {
			conn.SendThrottled(m.ID, 1500)
			return
		}
		conn.SendBody(m.ID, []byte("a page"))
	})
	if err != nil {
		panic(err)
	}
	return r
}

func ExampleClient_Do() {
	r := router()
	defer r.Close()
	c, err := client.New(client.Config{Routers: []string{r.Addr()}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close(context.Background())
	resp, err := c.Do(context.Background(), client.Request{
		Class: "part-page",
		Item:  0x7f3a9c21e0b4d655,
		Part:  3,
		Limit: time.Second,
	})
	fmt.Printf("%s, %d try, %v\n", resp.Body, resp.Tries, err)
	// Output: a page, 1 try, <nil>
}

// An order that was rejected never ran. An order that may have run must not be sent again before its state is known.
func ExampleError() {
	r := router()
	defer r.Close()
	c, err := client.New(client.Config{Routers: []string{r.Addr()}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close(context.Background())
	_, err = c.Do(context.Background(), client.Request{
		Class: "new-arrange",
		Item:  1,
		Body:  []byte("in F"),
		Limit: time.Second,
	})
	var e *client.Error
	switch {
	case errors.Is(err, client.ErrMayHaveRun):
		fmt.Println("find out first whether it took effect")
	case errors.Is(err, client.ErrRefused) && errors.As(err, &e):
		fmt.Println("not run; retry later:", e.Wait > time.Second)
	default:
		fmt.Println(err)
	}
	// Output: not run; retry later: true
}
