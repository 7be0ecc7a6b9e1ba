package discovery

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Path is the URL path of the list.
const Path = "/registry/instances"

// writeTimeout is the time after which the connection of a caller that does not read its responses is closed, and the
// maximum time that a call waits for the previous one on its connection.
const writeTimeout = 10 * time.Second

// conn is one caller's connection. The fields after closed are guarded by s.mu unless noted otherwise.
type conn struct {
	s               *Service
	caller          *caller
	nc              net.Conn
	wake            chan struct{}
	calls           chan call     // closed by the reader when the connection ends
	closed          chan struct{} // closed together with calls
	callEpoch       int           // s.epoch when the current call was received
	busy            bool          // a call waits or a watch is open
	watch           bool
	silenced        bool // sends nothing because of a fault, and was counted
	silencedForever bool // stays silent after the fault
	injected        []string
	sentIndex       int64 // version sent on the watch; used by the connection's goroutine only
}

// call is one call.
type call struct {
	watch      bool
	after      int64 // -1: not given
	wait       time.Duration
	status     int  // not 200 for an invalid call
	closeAfter bool // the connection closes after the response
}

func (s *Service) accept(ln net.Listener, name string) {
	for {
		nc, err := ln.Accept()
		if err != nil { // the listener was closed
			return
		}
		who := name
		if who == "" {
			if who, _, err = net.SplitHostPort(nc.RemoteAddr().String()); err != nil {
				who = Others
			}
		}
		n := &conn{s: s, nc: nc, wake: make(chan struct{}, 1), calls: make(chan call), closed: make(chan struct{})}
		s.mu.Lock()
		n.caller = s.caller(who)
		n.caller.counts.Conns++
		switch {
		case s.closed || len(s.conns) >= s.opt.Conns:
			nc.Close()
		case n.caller.fault.resetsConns(s.opt.Mode):
			n.caller.counts.Downs++
			n.reset()
		default:
			s.conns[n] = true
			s.wg.Go(n.read)
			s.wg.Go(n.run)
		}
		s.mu.Unlock()
	}
}

// read reads calls from the connection and notices its end.
func (n *conn) read() {
	defer close(n.calls)
	defer close(n.closed)
	br := bufio.NewReader(n.nc)
	for {
		var request fasthttp.Request
		if request.ReadLimitBody(br, 1<<16) != nil {
			return
		}
		args := request.URI().QueryArgs()
		c := call{watch: args.GetBool("watch"), after: -1, status: fasthttp.StatusOK, closeAfter: request.ConnectionClose()}
		if v := args.GetUintOrZero("after"); args.Has("after") {
			c.after = int64(v)
		}
		c.wait = time.Duration(args.GetUintOrZero("wait")) * time.Millisecond
		switch {
		case string(request.URI().Path()) != Path:
			c.status = fasthttp.StatusNotFound
		case !request.Header.IsGet():
			c.status = fasthttp.StatusMethodNotAllowed
		}
		if n.s.opt.OnCall != nil {
			n.s.opt.OnCall(n.caller.name, string(request.RequestURI()))
		}
		select {
		case n.calls <- c:
		case <-time.After(writeTimeout): // pipelined calls on a connection that is silenced
			return
		}
	}
}

func (n *conn) run() {
	for c := range n.calls {
		n.s.mu.Lock()
		n.caller.counts.Calls++
		n.callEpoch, n.busy = n.s.epoch, true
		n.s.mu.Unlock()
		if !n.handleCall(c) || c.closeAfter {
			break
		}
		n.s.mu.Lock()
		n.busy = false
		n.s.mu.Unlock()
	}
	n.nc.Close()
	n.s.mu.Lock()
	delete(n.s.conns, n)
	if n.watch {
		n.caller.counts.Open--
	}
	n.s.mu.Unlock()
	for range n.calls { // drained until the reader has ended
	}
}

// waitUntil waits for a time (zero: none) or, if wakeable is set, for a wake-up. It returns false once the connection
// has ended.
func (n *conn) waitUntil(at time.Time, wakeable bool) bool {
	var timer <-chan time.Time
	var wake <-chan struct{}
	if !at.IsZero() {
		t := time.NewTimer(time.Until(at))
		defer t.Stop()
		timer = t.C
	}
	if wakeable {
		wake = n.wake
	}
	select {
	case <-timer:
	case <-wake:
	case <-n.closed:
		return false
	}
	return true
}

// waitWhileSilenced waits while the connection is silenced. It returns false once the connection has ended.
func (n *conn) waitWhileSilenced() bool {
	for {
		n.s.mu.Lock()
		silenced := n.checkSilenced()
		n.s.mu.Unlock()
		if !silenced {
			return true
		}
		if !n.waitUntil(time.Time{}, true) {
			return false
		}
	}
}

// handleCall answers one call and reports whether the connection stays open.
func (n *conn) handleCall(c call) bool {
	s := n.s
	if c.status != fasthttp.StatusOK {
		return n.respondError(c.status, &n.caller.counts.Failed)
	}
	if !n.waitWhileSilenced() {
		return false
	}
	s.mu.Lock()
	if n.caller.fault.RejectCalls {
		s.mu.Unlock()
		return n.respondError(fasthttp.StatusServiceUnavailable, &n.caller.counts.Rejected, &n.caller.counts.Failed)
	}
	at, waited, outcome := s.capacity.call(time.Now())
	if waited > 0 {
		n.caller.counts.Queued++
		n.caller.counts.LongestWait = max(n.caller.counts.LongestWait, waited)
	}
	s.mu.Unlock()
	if !n.waitUntil(at, false) {
		return false
	}
	switch outcome {
	case TooLong:
		return n.respondError(fasthttp.StatusServiceUnavailable, &n.caller.counts.TooLong, &n.caller.counts.Failed)
	case Full:
		return n.respondError(fasthttp.StatusServiceUnavailable, &n.caller.counts.Full, &n.caller.counts.Failed)
	}
	if c.watch && s.opt.Mode == Push {
		return n.serveWatch(c)
	}
	if c.wait > 0 && s.opt.Mode != Poll && !n.waitForChange(c) {
		return false
	}
	return n.respondList()
}

// waitForChange holds a call until the version exceeds the one that it names or its wait time is over. It returns false
// once the connection has ended.
func (n *conn) waitForChange(c call) bool {
	end := time.Now().Add(c.wait)
	if c.after < 0 {
		c.after = n.s.Index()
	}
	for {
		n.s.mu.Lock()
		version := n.s.list.Index()
		n.s.mu.Unlock()
		if version > c.after || !time.Now().Before(end) {
			return true
		}
		if !n.waitUntil(end, true) {
			return false
		}
	}
}

// takeOldList returns the list that SendOldList requested, if any. Requires s.mu to be locked.
func (n *conn) takeOldList() (List, bool) {
	back := n.caller.once.versionsBack
	if back == 0 {
		return List{}, false
	}
	n.caller.once.versionsBack = 0
	l, _ := n.s.list.At(max(n.s.list.Index()-int64(back), n.s.list.Oldest()))
	n.caller.counts.OldLists++
	return l, true
}

// waitDelay waits for the fault's delay. It returns false once the connection has ended.
func (n *conn) waitDelay() bool {
	n.s.mu.Lock()
	delay := n.caller.fault.Delay
	if delay > 0 {
		n.caller.counts.Delayed++
	}
	n.s.mu.Unlock()
	return delay <= 0 || n.waitUntil(time.Now().Add(delay), false)
}

// respondList responds with the complete list.
func (n *conn) respondList() bool {
	n.s.mu.Lock()
	l, old := n.takeOldList()
	if !old {
		l = n.s.list.List()
	}
	text := n.s.encoded(l, -1, n.s.opt.Indent)
	n.s.mu.Unlock()
	if !n.waitDelay() || !n.waitWhileSilenced() {
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(text))
	return n.write(head, text, "", &l, &n.caller.counts.Served)
}

// serveWatch opens a watch and serves it until the connection ends.
func (n *conn) serveWatch(c call) bool {
	s := n.s
	s.mu.Lock()
	// A restarted caller may hold an earlier version than the one sent last.
	n.caller.sentIndex = min(n.caller.sentIndex, c.after)
	l, old := n.takeOldList()
	if !old {
		l = s.list.After(c.after)
	}
	text := s.encoded(l, c.after, s.opt.IndentWatch)
	n.sentIndex = s.list.Index()
	s.mu.Unlock()
	if !n.waitDelay() || !n.waitWhileSilenced() {
		return false
	}
	s.mu.Lock()
	n.watch = true
	n.caller.counts.Served++
	n.caller.counts.Watches++
	n.caller.counts.Open++
	s.mu.Unlock()
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	if !n.writeLine(head, text, &l) {
		return false
	}
	nextHeartbeat := time.Now().Add(s.opt.Beat)
	for {
		text, l, next, silent := n.next()
		now := time.Now()
		switch {
		case silent:
			if !n.waitUntil(time.Time{}, true) {
				return false
			}
			nextHeartbeat = time.Now()
			continue
		case text != nil:
			if !n.writeLine("", text, l) {
				return false
			}
		case !now.Before(nextHeartbeat):
			if !n.writeLine("", nil, nil) {
				return false
			}
		default:
			if next.IsZero() || nextHeartbeat.Before(next) {
				next = nextHeartbeat
			}
			if !n.waitUntil(next, true) {
				return false
			}
			continue
		}
		nextHeartbeat = time.Now().Add(s.opt.Beat)
	}
}

// next returns what to send on the watch now, if anything, when to check again (zero: at the next heartbeat), and
// whether the watch is silenced.
func (n *conn) next() (text []byte, l *List, nextCheck time.Time, silent bool) {
	s := n.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.checkSilenced() {
		return nil, nil, nextCheck, true
	}
	if len(n.injected) > 0 {
		text, n.injected = []byte(n.injected[0]), n.injected[1:]
		n.caller.counts.InjectedLines++
		return text, nil, nextCheck, false
	}
	if old, ok := n.takeOldList(); ok {
		return s.encoded(old, -1, s.opt.IndentWatch), &old, nextCheck, false
	}
	version, nextCheck := s.visibleIndex(n.caller.fault.Delay, time.Now())
	if version <= n.sentIndex {
		return nil, nil, nextCheck, false
	}
	changes, ok := s.list.Changes(n.sentIndex, version)
	if !ok {
		changes, version = s.list.List(), s.list.Index()
	}
	if n.caller.fault.Delay > 0 {
		n.caller.counts.Delayed++
	}
	text = s.encoded(changes, n.sentIndex, s.opt.IndentWatch)
	n.sentIndex = version
	return text, &changes, nextCheck, false
}

// writeLine writes one line of a watch as an HTTP chunk. An empty text is a heartbeat.
func (n *conn) writeLine(head string, text []byte, l *List) bool {
	head += fmt.Sprintf("%x\r\n", len(text)+1)
	if len(text) == 0 {
		return n.write(head, text, "\n\r\n", l, &n.caller.counts.Lines, &n.caller.counts.Beats)
	}
	return n.write(head, text, "\n\r\n", l, &n.caller.counts.Lines)
}

// write sends a message, or its first half after TruncateNextList, and records and counts it. l is the list that it
// contains, nil if none. It returns false if the connection has to be closed.
func (n *conn) write(head string, text []byte, tail string, l *List, counts ...*int) bool {
	n.caller.recordMu.RLock()
	defer n.caller.recordMu.RUnlock()
	n.s.mu.Lock()
	truncate := n.caller.once.truncate && len(text) > 1
	if truncate {
		n.caller.once.truncate = false
		n.caller.counts.Truncated++
		text, tail = text[:len(text)/2], ""
	}
	n.s.mu.Unlock()
	message := make([]byte, 0, len(head)+len(text)+len(tail))
	message = append(append(append(message, head...), text...), tail...)
	if n.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	if _, err := n.nc.Write(message); err != nil || truncate {
		return false
	}
	n.s.mu.Lock()
	defer n.s.mu.Unlock()
	for _, c := range counts {
		*c++
	}
	if l != nil {
		n.s.recordDelivery(n.caller, *l, time.Now())
	}
	return true
}

// respondError responds with an error and counts it.
func (n *conn) respondError(status int, counts ...*int) bool {
	n.s.mu.Lock()
	for _, c := range counts {
		*c++
	}
	n.s.mu.Unlock()
	_ = n.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := fmt.Fprintf(n.nc, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, fasthttp.StatusMessage(status))
	return err == nil
}
