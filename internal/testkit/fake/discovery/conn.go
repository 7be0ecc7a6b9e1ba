package discovery

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Path is where the list is.
const Path = "/registry/instances"

const writeWait = 10 * time.Second // a caller that does not read is given up

// conn is one caller's connection. What is not said to be its own goroutine's is under s.mu.
type conn struct {
	s     *Service
	c     *caller
	nc    net.Conn
	kick  chan struct{}
	asks  chan ask      // its own reader closes it at the connection's end
	gone  chan struct{} // closed with it
	asked int           // s.epoch when the present call came
	busy  bool          // a call waits or a watch is open
	watch bool
	quiet bool // silenced, and counted
	lost  bool // for good
	said  []string
	pos   int64 // its goroutine's: the version told on its watch
}

// ask is one call.
type ask struct {
	watch  bool
	after  int64 // -1: not said
	wait   time.Duration
	status int  // other than 200: a call that means nothing
	last   bool // the connection ends after it
}

func (s *Service) accept(ln net.Listener, name string) {
	for {
		nc, err := ln.Accept()
		if err != nil { // closed, or shut
			return
		}
		who := name
		if who == "" {
			if who, _, err = net.SplitHostPort(nc.RemoteAddr().String()); err != nil {
				who = Others
			}
		}
		n := &conn{s: s, nc: nc, kick: make(chan struct{}, 1), asks: make(chan ask), gone: make(chan struct{})}
		s.mu.Lock()
		n.c = s.caller(who)
		n.c.counts.Came++
		switch {
		case s.closed || len(s.conns) >= s.opt.Conns:
			nc.Close()
		case n.c.fault.resets(s.opt.Mode):
			n.c.counts.Downs++
			n.reset()
		default:
			s.conns[n] = true
			s.wg.Go(n.read)
			s.wg.Go(n.run)
		}
		s.mu.Unlock()
	}
}

// read takes calls off the connection, and notices its end.
func (n *conn) read() {
	defer close(n.asks)
	defer close(n.gone)
	br := bufio.NewReader(n.nc)
	for {
		var q fasthttp.Request
		if q.ReadLimitBody(br, 1<<16) != nil {
			return
		}
		args := q.URI().QueryArgs()
		a := ask{watch: args.GetBool("watch"), after: -1, status: fasthttp.StatusOK, last: q.ConnectionClose()}
		if v := args.GetUintOrZero("after"); args.Has("after") {
			a.after = int64(v)
		}
		a.wait = time.Duration(args.GetUintOrZero("wait")) * time.Millisecond
		switch {
		case string(q.URI().Path()) != Path:
			a.status = fasthttp.StatusNotFound
		case !q.Header.IsGet():
			a.status = fasthttp.StatusMethodNotAllowed
		}
		if n.s.opt.Heard != nil {
			n.s.opt.Heard(n.c.name, string(q.RequestURI()))
		}
		select {
		case n.asks <- a:
		case <-time.After(writeWait): // calls in a row on one that is held
			return
		}
	}
}

func (n *conn) run() {
	for a := range n.asks {
		n.s.mu.Lock()
		n.c.counts.Calls++
		n.asked, n.busy = n.s.epoch, true
		n.s.mu.Unlock()
		if !n.call(a) || a.last {
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
		n.c.counts.Open--
	}
	n.s.mu.Unlock()
	for range n.asks { // until the reader has ended
	}
}

// until waits for a moment (zero: none) or, where it may, for a kick; false once the connection is over.
func (n *conn) until(at time.Time, kicked bool) bool {
	var alarm <-chan time.Time
	var kick <-chan struct{}
	if !at.IsZero() {
		t := time.NewTimer(time.Until(at))
		defer t.Stop()
		alarm = t.C
	}
	if kicked {
		kick = n.kick
	}
	select {
	case <-alarm:
	case <-kick:
	case <-n.gone:
		return false
	}
	return true
}

// hold waits while the connection is silenced.
func (n *conn) hold() bool {
	for {
		n.s.mu.Lock()
		silent := n.silent()
		n.s.mu.Unlock()
		if !silent {
			return true
		}
		if !n.until(time.Time{}, true) {
			return false
		}
	}
}

// call answers one, and says whether the connection goes on.
func (n *conn) call(a ask) bool {
	s := n.s
	if a.status != fasthttp.StatusOK {
		return n.fail(a.status, &n.c.counts.Failed)
	}
	if !n.hold() {
		return false
	}
	s.mu.Lock()
	if n.c.fault.Refuse {
		s.mu.Unlock()
		return n.fail(fasthttp.StatusServiceUnavailable, &n.c.counts.Refused, &n.c.counts.Failed)
	}
	at, waited, out := s.room.call(time.Now())
	if waited > 0 {
		n.c.counts.Waited++
		n.c.counts.Longest = max(n.c.counts.Longest, waited)
	}
	s.mu.Unlock()
	if !n.until(at, false) {
		return false
	}
	switch out {
	case TooLong:
		return n.fail(fasthttp.StatusServiceUnavailable, &n.c.counts.TooLong, &n.c.counts.Failed)
	case Full:
		return n.fail(fasthttp.StatusServiceUnavailable, &n.c.counts.Full, &n.c.counts.Failed)
	}
	if a.watch && s.opt.Mode == Push {
		return n.stream(a)
	}
	if a.wait > 0 && s.opt.Mode != Poll && !n.changed(a) {
		return false
	}
	return n.plain()
}

// changed holds a call until the version is over the one it names, or its wait is over.
func (n *conn) changed(a ask) bool {
	over := time.Now().Add(a.wait)
	if a.after < 0 {
		a.after = n.s.Index()
	}
	for {
		n.s.mu.Lock()
		v := n.s.book.Index()
		n.s.mu.Unlock()
		if v > a.after || !time.Now().Before(over) {
			return true
		}
		if !n.until(over, true) {
			return false
		}
	}
}

// old is the list of the fault of one time, if it is due; under s.mu.
func (n *conn) old() (List, bool) {
	back := n.c.once.old
	if back == 0 {
		return List{}, false
	}
	n.c.once.old = 0
	l, _ := n.s.book.At(max(n.s.book.Index()-int64(back), n.s.book.Oldest()))
	n.c.counts.Olds++
	return l, true
}

// late waits as long as the fault says.
func (n *conn) late() bool {
	n.s.mu.Lock()
	by := n.c.fault.Late
	if by > 0 {
		n.c.counts.Lates++
	}
	n.s.mu.Unlock()
	return by <= 0 || n.until(time.Now().Add(by), false)
}

// plain answers with the whole list.
func (n *conn) plain() bool {
	n.s.mu.Lock()
	l, old := n.old()
	if !old {
		l = n.s.book.List()
	}
	text := n.s.text(l, -1, n.s.opt.Indent)
	n.s.mu.Unlock()
	if !n.late() || !n.hold() {
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(text))
	return n.write(head, text, "", &l, &n.c.counts.Served)
}

// stream opens a watch and serves it to its end.
func (n *conn) stream(a ask) bool {
	s := n.s
	s.mu.Lock()
	// What is held is what the caller says: one that was started again may hold less.
	n.c.held = min(n.c.held, a.after)
	l, old := n.old()
	if !old {
		l = s.book.After(a.after)
	}
	text := s.text(l, a.after, s.opt.IndentWatch)
	n.pos = s.book.Index()
	s.mu.Unlock()
	if !n.late() || !n.hold() {
		return false
	}
	s.mu.Lock()
	n.watch = true
	n.c.counts.Served++
	n.c.counts.Watches++
	n.c.counts.Open++
	s.mu.Unlock()
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	if !n.line(head, text, &l) {
		return false
	}
	beat := time.Now().Add(s.opt.Beat)
	for {
		text, l, next, silent := n.next()
		now := time.Now()
		switch {
		case silent:
			if !n.until(time.Time{}, true) {
				return false
			}
			beat = time.Now()
			continue
		case text != nil:
			if !n.line("", text, l) {
				return false
			}
		case !now.Before(beat):
			if !n.line("", nil, nil) {
				return false
			}
		default:
			if next.IsZero() || beat.Before(next) {
				next = beat
			}
			if !n.until(next, true) {
				return false
			}
			continue
		}
		beat = time.Now().Add(s.opt.Beat)
	}
}

// next is what the watch says now, if it has anything, and when to look again.
func (n *conn) next() (text []byte, l *List, again time.Time, silent bool) {
	s := n.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.silent() {
		return nil, nil, again, true
	}
	if len(n.said) > 0 {
		text, n.said = []byte(n.said[0]), n.said[1:]
		n.c.counts.Said++
		return text, nil, again, false
	}
	if old, ok := n.old(); ok {
		return s.text(old, -1, s.opt.IndentWatch), &old, again, false
	}
	v, again := s.visible(n.c.fault.Late, time.Now())
	if v <= n.pos {
		return nil, nil, again, false
	}
	news, ok := s.book.Changes(n.pos, v)
	if !ok {
		news, v = s.book.List(), s.book.Index()
	}
	if n.c.fault.Late > 0 {
		n.c.counts.Lates++
	}
	text = s.text(news, n.pos, s.opt.IndentWatch)
	n.pos = v
	return text, &news, again, false
}

// line writes one line of a watch.
func (n *conn) line(head string, text []byte, l *List) bool {
	head += fmt.Sprintf("%x\r\n", len(text)+1)
	if len(text) == 0 {
		return n.write(head, text, "\n\r\n", l, &n.c.counts.Lines, &n.c.counts.Beats)
	}
	return n.write(head, text, "\n\r\n", l, &n.c.counts.Lines)
}

// write puts out a list, or half of it, and records and counts it; false: the connection is over.
func (n *conn) write(head string, text []byte, tail string, l *List, counts ...*int) bool {
	n.c.writing.RLock()
	defer n.c.writing.RUnlock()
	n.s.mu.Lock()
	cut := n.c.once.cut && len(text) > 1
	if cut {
		n.c.once.cut = false
		n.c.counts.Cuts++
		text, tail = text[:len(text)/2], ""
	}
	n.s.mu.Unlock()
	all := make([]byte, 0, len(head)+len(text)+len(tail))
	all = append(append(append(all, head...), text...), tail...)
	if n.nc.SetWriteDeadline(time.Now().Add(writeWait)) != nil {
		return false
	}
	if _, err := n.nc.Write(all); err != nil || cut {
		return false
	}
	n.s.mu.Lock()
	defer n.s.mu.Unlock()
	for _, c := range counts {
		*c++
	}
	if l != nil {
		n.s.tell(n.c, *l, time.Now())
	}
	return true
}

// fail answers with an error, which is counted.
func (n *conn) fail(status int, counts ...*int) bool {
	n.s.mu.Lock()
	for _, c := range counts {
		*c++
	}
	n.s.mu.Unlock()
	_ = n.nc.SetWriteDeadline(time.Now().Add(writeWait))
	_, err := fmt.Fprintf(n.nc, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, fasthttp.StatusMessage(status))
	return err == nil
}
