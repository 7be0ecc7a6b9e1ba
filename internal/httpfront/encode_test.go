package httpfront

import (
	"bytes"
	"time"
)

// encode appends the head and the body of an attempt's message with the Host field "h"; left is the time until the deadline.
func (c *nodeRequest) encode(dst []byte, left time.Duration) []byte {
	dst = c.encodeHead(dst, "h", left)
	if c.body == nil {
		return dst
	}
	return append(dst, bytes.Join(c.body.segments, nil)...)
}
