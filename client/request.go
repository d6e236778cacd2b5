package client

import (
	"fmt"
	"io"
	"time"
)

// maxTagBytes is the maximum length of Request.Have, in bytes.
const maxTagBytes = 64

// Request is a request to the routers. Class is required; the zero value of any other field omits it.
type Request struct {
	Class string // name of one of Config.Classes
	Item  uint64 // id of the object
	Part  uint64 // number of the part of the object, from 0
	Group uint8  // group of the object

	// Have is the tag of the copy of the object that the caller has. If that copy is current, Response.Unchanged is
	// set and the response has no body. The tag has at most 64 bytes of visible ASCII, without "," and "=".
	Have string

	// Body is the payload of an order. It must not be changed until Do has returned.
	Body []byte

	// Limit is the time limit over all attempts. Default and upper bound: the class's Limit. The context's deadline
	// also bounds it.
	Limit time.Duration

	// To, if set, receives the body of the response as it arrives, instead of Response.Body. Once bytes have been
	// written to To, the request is not retried unless To is a Rewinder. To is called by the goroutine that called Do
	// and may block, which delays no other request.
	To io.Writer
}

// Rewinder is a Request.To that can discard what was written to it, so that the request may be retried. An error of
// Rewind ends the request with ErrSink.
type Rewinder interface{ Rewind() error }

// Sizer is a Request.To whose Size is called with the size of a body, in bytes, before the first byte of it is
// written.
type Sizer interface{ Size(bytes int) }

// Response is the response to a request that was served.
type Response struct {
	Body      []byte        // nil if the request had To; the caller owns it
	Size      int           // size of the body, in bytes
	Unchanged bool          // the caller's copy, named by Request.Have, is current
	Tries     int           // attempts that were sent
	Took      time.Duration // from the call of Do, over all attempts
	Router    string        // address of the router that served it
}

// checkRequest returns the index of a request's class, or an error if the request can't be sent.
func (c *Client) checkRequest(req *Request) (class int, err error) {
	class, known := c.classes.index[req.Class]
	problem := ""
	switch {
	case !known:
		problem = fmt.Sprintf("unknown class %q", req.Class)
	case len(req.Body) > c.config.MaxBody:
		problem = fmt.Sprintf("body has %d bytes, maximum is %d", len(req.Body), c.config.MaxBody)
	case !validTag(req.Have):
		problem = "Have is not a valid tag"
	case req.Limit < 0:
		problem = "Limit is negative"
	default:
		return class, nil
	}
	return 0, &Error{Kind: ErrRequest, Text: problem}
}

// validTag reports whether the tag of a copy can be sent: visible ASCII without the separators "," and "=", at most
// maxTagBytes long.
func validTag(tag string) bool {
	for i := range len(tag) {
		if b := tag[i]; b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return false
		}
	}
	return len(tag) <= maxTagBytes
}
