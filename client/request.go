package client

import (
	"fmt"
	"io"
	"time"
)

// maxTagBytes is the longest Request.Have, in bytes.
const maxTagBytes = 64

// Request is a request to the routers. Class is required; the zero value of any other field leaves it out.
type Request struct {
	Class string // name of one of Config.Classes
	Item  uint64 // id of the object
	Part  uint64 // number of the part of the object, from 0
	Group uint8  // of the object

	// Have is the tag of the copy of the object that the caller has. If it is the current one, Response.Unchanged
	// is set and the response has no body. It has at most 64 bytes of visible ASCII, without "," and "=".
	Have string

	// Body is the payload of an order. It must not be changed until Do has returned.
	Body []byte

	// Limit is the time limit over all attempts. Default and upper bound: the class's Limit. The context's deadline
	// bounds it too.
	Limit time.Duration

	// To, if set, gets the body of the response as it comes, in place of Response.Body. Once bytes were written to
	// it the request is not retried, unless To is a Rewinder. It is called by the goroutine that called Do, and may
	// block: that holds up no other request.
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
	Size      int           // of the body, in bytes
	Unchanged bool          // the caller's copy, named by Request.Have, is the current one
	Tries     int           // attempts that were sent
	Took      time.Duration // from the call of Do, over all attempts
	Router    string        // address of the router that served it
}

// checkRequest returns the class of a request, or why it can't be sent.
func (c *Client) checkRequest(req *Request) (class int, err error) {
	class, known := c.classes.index[req.Class]
	problem := ""
	switch {
	case !known:
		problem = fmt.Sprintf("no class %q", req.Class)
	case len(req.Body) > c.config.MaxBody:
		problem = fmt.Sprintf("a body of %d bytes, over %d", len(req.Body), c.config.MaxBody)
	case !validTag(req.Have):
		problem = "Have is no tag"
	case req.Limit < 0:
		problem = "Limit is negative"
	default:
		return class, nil
	}
	return 0, &Error{Kind: ErrRequest, Text: problem}
}

// validTag says whether the tag of a copy can be sent: visible ASCII without the separators of tags.
func validTag(tag string) bool {
	for i := range len(tag) {
		if b := tag[i]; b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return false
		}
	}
	return len(tag) <= maxTagBytes
}
