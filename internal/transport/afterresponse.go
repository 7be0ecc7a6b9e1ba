package transport

// AfterResponse sets a function that is called once, when the current response was written or the connection is closed. It may
// be called from any goroutine that closes the connection, and must not block.
func (c *Conn) AfterResponse(f func()) { c.afterResponse.Store(&f) }

// runAfterResponse calls the function that AfterResponse has set.
func (c *Conn) runAfterResponse() {
	if f := c.afterResponse.Swap(nil); f != nil {
		(*f)()
	}
}
