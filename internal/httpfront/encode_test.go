package httpfront

import "time"

// encode appends the head and the body of an attempt's message with the Host field "h"; left is the time until the deadline.
func (c *nodeRequest) encode(dst []byte, left time.Duration) []byte {
	return append(c.encodeHead(dst, "h", left), c.body...)
}
