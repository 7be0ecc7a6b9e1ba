package httpfront

import (
	"sync/atomic"
	"time"
)

const (
	// pacedBytes is what a long response transfers between two passes of the pacer.
	pacedBytes = 64 << 10
	// pacerPause is how long one pass takes. With pacedBytes it bounds the rate of all long responses together to 320 MB/s, so that
	// they leave processor time to other requests.
	pacerPause = 200 * time.Microsecond
	// unpacedResponses is the number of long responses at a time that are not paced.
	unpacedResponses = 4
)

// bulkPacer bounds the processor time of long responses while many of them are passed on. Clients and nodes that never make them wait
// would else have them use the whole processor, and other requests would wait for a slice of it again and again. Any goroutine may
// call its methods. A nil bulkPacer does nothing.
type bulkPacer struct {
	responses atomic.Int32  // that are passed on
	turn      chan struct{} // one element while a response takes its pass
}

func newBulkPacer() *bulkPacer { return &bulkPacer{turn: make(chan struct{}, 1)} }

// begin counts a long response, until end.
func (p *bulkPacer) begin() {
	if p != nil {
		p.responses.Add(1)
	}
}

// end counts a long response as ended.
func (p *bulkPacer) end() {
	if p != nil {
		p.responses.Add(-1)
	}
}

// pass is called by a long response after each pacedBytes. It waits if there are many.
func (p *bulkPacer) pass() {
	if p == nil || p.responses.Load() <= unpacedResponses {
		return
	}
	p.turn <- struct{}{}
	time.Sleep(pacerPause)
	<-p.turn
}
