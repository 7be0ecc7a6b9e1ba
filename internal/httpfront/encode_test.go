package httpfront

import "time"

// encode appends the whole message of one attempt to a node named h: left is the time until its deadline.
func (c *nodeRequest) encode(dst []byte, left time.Duration) []byte {
	return append(c.encodeHead(dst, "h", left), c.body...)
}
