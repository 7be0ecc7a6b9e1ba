package transport

import (
	"sync"
	"time"
)

// The pace of requests. A request that is rejected at once takes some 40 us of processor time, so clients that send as fast as they are
// answered would take a whole core, and others would wait for it. A connection has a rate of its own, for which clients that send one
// request at a time rarely send too fast; beyond it all connections share another one.
const (
	connRequestRate   = 200.0 // per second
	connRequestBurst  = 200.0
	sharedRequestRate = 2000.0 // per second
)

// tokenBucket bounds a rate. It reads no clock. With no token spent it is full.
type tokenBucket struct {
	spent     float64 // tokens that are missing from the full bucket
	updatedAt time.Duration
}

// refill adds the tokens since the last call, at a rate per second.
func (b *tokenBucket) refill(now time.Duration, rate float64) {
	b.spent = max(0, b.spent-(now-b.updatedAt).Seconds()*rate)
	b.updatedAt = now
}

// tryTake takes a token of a connection's bucket if there is one.
func (b *tokenBucket) tryTake(now time.Duration) bool {
	b.refill(now, connRequestRate)
	if b.spent+1 > connRequestBurst {
		return false
	}
	b.spent++
	return true
}

// reserve takes a token of the shared bucket, which holds none, and returns the time until it is there.
func (b *tokenBucket) reserve(now time.Duration) (wait time.Duration) {
	b.refill(now, sharedRequestRate)
	b.spent++
	return time.Duration(b.spent / sharedRequestRate * float64(time.Second))
}

// sharedPace is the pace of all connections' requests beyond their own rates.
type sharedPace struct {
	mu     sync.Mutex // guards bucket
	bucket tokenBucket
}

func (p *sharedPace) reserve(now time.Duration) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bucket.reserve(now)
}

// AwaitTurn waits while the connection sends requests too fast. The goroutine that serves the connection calls it once for each
// request, before it handles the request.
func (c *Conn) AwaitTurn() {
	now := time.Since(c.listener.origin)
	if c.pace.tryTake(now) {
		return
	}
	c.recordQueue() // what waits behind this request
	time.Sleep(c.listener.pace.reserve(now))
}
