package rpc

// ParseMessage reads the request or notification at the start of the buffer. It allocates nothing but Message.IDs. A
// message of more than limit bytes is malformed.
func ParseMessage(buffer []byte, limit int) (Message, Progress, error) {
	d := decoder{buffer: buffer}
	var m Message
	progress, err := d.progress(limit, d.message(&m))
	if progress.Consumed == 0 {
		m = Message{}
	}
	return m, progress, err
}

// ParseResponseHeader reads a response up to its body, or the whole response if it has no body. A header of more than
// limit bytes is malformed, and so is one that announces a body of more than bodyLimit bytes, so that the caller may
// allocate BodySize bytes.
func ParseResponseHeader(buffer []byte, limit, bodyLimit int) (ResponseHeader, Progress, error) {
	d := decoder{buffer: buffer}
	var h ResponseHeader
	err := d.responseHeader(&h)
	if err == nil && h.BodySize > bodyLimit {
		err = ErrMalformed
	}
	progress, err := d.progress(limit, err)
	if progress.Consumed == 0 {
		h = ResponseHeader{}
	}
	return h, progress, err
}

// ParseResponseTrailer reads the fields that follow the body of a response. A trailer of more than limit bytes is
// malformed.
func ParseResponseTrailer(buffer []byte, limit int) (Fields, Progress, error) {
	d := decoder{buffer: buffer}
	var f Fields
	progress, err := d.progress(limit, d.fields(&f))
	if progress.Consumed == 0 {
		f = Fields{}
	}
	return f, progress, err
}

// The numbers of elements of messages: a request is [kind, id, method, params], a response [kind, id, error, result], and a
// notification [kind, method, params].
const (
	requestElements      = 4
	responseElements     = 4
	notificationElements = 3
)

// messageHead reads the number of elements of a message, and its first element, the kind.
func (d *decoder) messageHead() (elements int, kind MessageKind, err error) {
	if elements, err = d.arrayLength(); err != nil {
		return 0, 0, err
	}
	number, err := d.uint()
	return elements, MessageKind(number), err
}

// message reads a request or a notification.
func (d *decoder) message(m *Message) error {
	elements, kind, err := d.messageHead()
	if err != nil {
		return err
	}
	m.Kind = kind
	switch {
	case m.Kind == KindRequest && elements == requestElements:
		if m.ID, err = d.messageID(); err != nil {
			return err
		}
	case m.Kind == KindNotification && elements == notificationElements:
	default:
		return ErrMalformed
	}
	if m.Method, err = d.bytes(); err != nil {
		return err
	}
	return d.params(m)
}

// params reads the parameters. There may be more than the protocol defines.
func (d *decoder) params(m *Message) error {
	count, err := d.arrayLength()
	if err != nil {
		return err
	}
	m.ParamCount = count
	for range count {
		if err := d.param(m); err != nil {
			return err
		}
	}
	return nil
}

// param reads one parameter. A map holds fields, a string or binary data is the body, an unsigned integer is an id, and
// anything else is skipped.
func (d *decoder) param(m *Message) error {
	head, err := d.peek()
	if err != nil {
		return err
	}
	switch formats[head] {
	case formatMap:
		return d.fields(&m.Fields)
	case formatString, formatBinary:
		m.Body, err = d.bytes()
		return err
	case formatPositiveInt, formatUint:
		id, err := d.uint()
		m.IDs = append(m.IDs, id)
		return err
	}
	return d.skip(maxDepth)
}

// fields reads a map into f, and skips the values whose names are unknown.
func (d *decoder) fields(f *Fields) error {
	count, err := d.mapLength()
	if err != nil {
		return err
	}
	for range count {
		name, err := d.bytes()
		if err != nil {
			return err
		}
		if slot := f.slot(name); slot != nil {
			*slot, err = d.bytes()
		} else {
			err = d.skip(maxDepth)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// responseHeader reads a response, [kind, id, error, result]. It reads the result up to the bytes of the body.
func (d *decoder) responseHeader(h *ResponseHeader) error {
	elements, kind, err := d.messageHead()
	if err != nil {
		return err
	}
	if kind != KindResponse || elements != responseElements {
		return ErrMalformed
	}
	if h.ID, err = d.messageID(); err != nil {
		return err
	}
	head, err := d.peek()
	if err != nil {
		return err
	}
	if formats[head] != formatNil {
		return d.errorResponse(h)
	}
	d.offset++
	return d.result(h)
}

// result reads the result of a response without an error: [ready, fields] of a health check in full, or [body, fields]
// up to the bytes of the body.
func (d *decoder) result(h *ResponseHeader) error {
	elements, err := d.arrayLength()
	if err != nil {
		return err
	}
	if elements != 2 {
		return ErrMalformed
	}
	head, err := d.peek()
	if err != nil {
		return err
	}
	if formats[head] == formatBool {
		d.offset++
		h.Kind, h.Ready = ResponseHealth, head == headTrue
		return d.fields(&h.Fields)
	}
	h.BodySize, err = d.bytesLength()
	return err
}

// errorResponse reads an error, which is [code, fields], [code] or the code alone, and skips the result after it, which
// has no meaning in an error response.
func (d *decoder) errorResponse(h *ResponseHeader) error {
	h.Kind = ResponseError
	head, err := d.peek()
	if err != nil {
		return err
	}
	elements := 1
	if formats[head] == formatArray {
		if elements, err = d.arrayLength(); err != nil {
			return err
		}
		if elements < 1 || elements > 2 {
			return ErrMalformed
		}
	}
	if h.Code, err = d.bytes(); err != nil {
		return err
	}
	if elements == 2 {
		if err := d.fields(&h.Fields); err != nil {
			return err
		}
	}
	return d.skip(maxDepth)
}
