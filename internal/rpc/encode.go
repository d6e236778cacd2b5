package rpc

import (
	"encoding/binary"
	"math"
	"strconv"
)

// AppendRequest appends a client's request with a message id.
func AppendRequest(b []byte, id uint64, request *Request) []byte {
	b = appendString(appendUint(append(b, headFixArray|requestElements, byte(KindRequest)), id), request.Method)
	b = append(b, headFixArray|2, headFixMap|request.fieldCount())
	b = appendHex(appendString(b, fieldTxn), request.Txn)
	b = appendDecimal(appendString(b, fieldTimeout), uint64(max(request.TimeoutMillis, 0)))
	b = appendHex(appendString(b, fieldItem), request.Item)
	b = appendDecimal(appendString(b, fieldNth), request.Nth)
	b = appendDecimal(appendString(b, fieldBatch), uint64(request.Batch))
	if request.Retry {
		b = appendString(appendString(b, fieldRetry), "1")
	}
	if request.Account != "" {
		b = appendString(appendString(b, fieldAccount), request.Account)
	}
	if request.ResumedTxn != 0 {
		b = appendHex(appendString(b, fieldResumedTxn), request.ResumedTxn)
	}
	if request.CachedTag != "" {
		b = appendString(appendString(b, fieldCachedTag), request.CachedTag)
	}
	return append(appendBinaryHead(b, len(request.Body)), request.Body...)
}

// fieldCount returns the number of fields that the request has on the wire.
func (r *Request) fieldCount() byte {
	count := byte(5) // the fields that every request has
	if r.Retry {
		count++
	}
	if r.Account != "" {
		count++
	}
	if r.ResumedTxn != 0 {
		count++
	}
	if r.CachedTag != "" {
		count++
	}
	return count
}

// AppendCancel appends the notification that the client no longer waits for the response with a message id.
func AppendCancel(b []byte, id uint64) []byte {
	b = appendString(append(b, headFixArray|notificationElements, byte(KindNotification)), methodCancel)
	return appendUint(append(b, headFixArray|1), id)
}

// AppendHealthRequest appends a health check, which asks whether the router accepts clients.
func AppendHealthRequest(b []byte, id uint64) []byte {
	b = appendString(appendUint(append(b, headFixArray|requestElements, byte(KindRequest)), id), methodHealth)
	return append(b, headFixArray|1, headFixMap)
}

// AppendBodyResponse appends the response to a request that was served: the body, and at most 15 fields.
func AppendBodyResponse(b []byte, id uint64, body []byte, fields ...Field) []byte {
	b = append(appendResponseHead(b, id), headNil, headFixArray|2)
	b = append(appendBinaryHead(b, len(body)), body...)
	return appendFields(b, fields)
}

// AppendErrorResponse appends the response to a request that was not served: an error code, and at most 15 fields.
func AppendErrorResponse(b []byte, id uint64, code string, fields ...Field) []byte {
	b = appendString(append(appendResponseHead(b, id), headFixArray|2), code)
	return append(appendFields(b, fields), headNil)
}

// AppendThrottledResponse appends the response to a request that was rejected and never ran. The client should wait
// for retryAfterMillis before it retries; 0 sends no such time. An empty reason means overload.
func AppendThrottledResponse(b []byte, id uint64, retryAfterMillis int64, reason string) []byte {
	var fields [2]Field
	count := 0
	if retryAfterMillis > 0 {
		fields[count] = Field{FieldRetryAfter, strconv.FormatInt(retryAfterMillis, 10)}
		count++
	}
	if reason != "" {
		fields[count] = Field{FieldReason, reason}
		count++
	}
	return AppendErrorResponse(b, id, CodeThrottled, fields[:count]...)
}

// AppendHealthResponse appends the response to a health check. ready reports whether the router accepts clients.
func AppendHealthResponse(b []byte, id uint64, ready bool) []byte {
	value := byte(headFalse)
	if ready {
		value = headTrue
	}
	return append(appendResponseHead(b, id), headNil, headFixArray|2, value, headFixMap)
}

// appendResponseHead appends a response up to its id. The caller appends the error and the result.
func appendResponseHead(b []byte, id uint64) []byte {
	return appendUint(append(b, headFixArray|responseElements, byte(KindResponse)), id)
}

// appendFields appends a map of at most 15 fields.
func appendFields(b []byte, fields []Field) []byte {
	b = append(b, headFixMap|byte(len(fields)))
	for _, field := range fields {
		b = appendString(appendString(b, field.Name), field.Value)
	}
	return b
}

// appendUint appends an unsigned integer in its shortest form.
func appendUint(b []byte, v uint64) []byte {
	switch {
	case v <= maxPositiveFixInt:
		return append(b, byte(v))
	case v <= math.MaxUint8:
		return append(b, headUint8, byte(v))
	case v <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, headUint16), uint16(v))
	case v <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, headUint32), uint32(v))
	}
	return binary.BigEndian.AppendUint64(append(b, headUint64), v)
}

// appendString appends a string of less than 64 KiB.
func appendString(b []byte, s string) []byte {
	if len(s) <= shortStringMask {
		return append(append(b, headFixString|byte(len(s))), s...)
	}
	return append(binary.BigEndian.AppendUint16(append(b, headString16), uint16(len(s))), s...)
}

// appendBinaryHead appends the head of binary data of size bytes. The caller appends the data.
func appendBinaryHead(b []byte, size int) []byte {
	switch {
	case size <= math.MaxUint8:
		return append(b, headBinary8, byte(size))
	case size <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, headBinary16), uint16(size))
	}
	return binary.BigEndian.AppendUint32(append(b, headBinary32), uint32(size))
}

// appendHex appends a number as a string of 16 hex digits.
func appendHex(b []byte, v uint64) []byte {
	const digits = "0123456789abcdef"
	b = append(b, headFixString|16)
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[v>>shift&15])
	}
	return b
}

// appendDecimal appends a number as a string of decimal digits. It has at most 20 digits, which fit a short string.
func appendDecimal(b []byte, v uint64) []byte {
	head := len(b)
	b = strconv.AppendUint(append(b, 0), v, 10)
	b[head] = headFixString | byte(len(b)-head-1)
	return b
}
