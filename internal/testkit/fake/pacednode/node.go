package pacednode

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	receiveBuffer = 32 << 10 // bytes, so that a slow read holds up the sender; below that, loopback adds waits of its own for window probes
	readPiece     = 4 << 10  // bytes
)

// Attempt is one request as the node received it.
type Attempt struct {
	ID          string
	Class       string    // first part of the path
	BeganAt     time.Time // its head was read
	ReceivedAt  time.Time // its last byte was read; zero: the scheduler closed the connection before
	EndedAt     time.Time // the response was written or the connection ended; zero: it is still being handled
	BodyWritten int       // bytes of the response body that the scheduler's machine accepted
	Complete    bool      // the response was written to its end
}

// Node is a running node. Any goroutine may call its methods.
type Node struct {
	listener net.Listener
	mu       sync.Mutex // guards the fields below
	attempts map[string][]*Attempt
	conns    map[net.Conn]bool
	closed   bool
	stop     chan struct{} // closed when the node ends
	wg       sync.WaitGroup
}

// Start starts a node on a free port of 127.0.0.1.
func Start() (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("paced node: %w", err)
	}
	n := &Node{listener: listener, attempts: map[string][]*Attempt{}, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	n.wg.Go(n.accept)
	return n, nil
}

// Address returns the address at which the node listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Close ends the node and its connections.
func (n *Node) Close() {
	_ = n.listener.Close()
	n.mu.Lock()
	if !n.closed {
		close(n.stop)
	}
	n.closed = true
	for nc := range n.conns {
		_ = nc.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Attempts returns copies of the attempts of a request id, in the order of their arrival.
func (n *Node) Attempts(id string) []Attempt {
	n.mu.Lock()
	defer n.mu.Unlock()
	var copies []Attempt
	for _, a := range n.attempts[id] {
		copies = append(copies, *a)
	}
	return copies
}

// EachRequest calls f for each request id with copies of its attempts.
func (n *Node) EachRequest(f func(id string, attempts []Attempt)) {
	n.mu.Lock()
	var ids []string
	for id := range n.attempts {
		ids = append(ids, id)
	}
	n.mu.Unlock()
	for _, id := range ids {
		f(id, n.Attempts(id))
	}
}

// OpenConns returns the number of open connections.
func (n *Node) OpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *Node) accept() {
	for {
		nc, err := n.listener.Accept()
		if err != nil {
			return
		}
		_ = nc.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			_ = nc.Close()
			return
		}
		n.conns[nc] = true
		n.mu.Unlock()
		n.wg.Go(func() { n.serve(nc) })
	}
}

func (n *Node) serve(nc net.Conn) {
	defer func() {
		_ = nc.Close()
		n.mu.Lock()
		delete(n.conns, nc)
		n.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(nc, readPiece)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !n.handle(nc, request) {
			return
		}
	}
}

// handle answers one request. It returns false if the connection ends.
func (n *Node) handle(nc net.Conn, request *http.Request) bool {
	script := parseScript(request.URL.Query())
	attempt := n.begin(request)
	defer n.update(attempt, func(a *Attempt) { a.EndedAt = time.Now() })
	if script.Early {
		return n.answerEarly(nc, request, script, attempt)
	}
	if !n.readBody(request, script) {
		return false
	}
	n.update(attempt, func(a *Attempt) { a.ReceivedAt = time.Now() })
	n.pause(script.Work)
	if !n.respond(nc, script, attempt) {
		return false
	}
	n.update(attempt, func(a *Attempt) { a.Complete = true })
	return script.Framing != Close
}

// answerEarly answers a request of which a part was read, and reads the rest only then, if the script says how.
func (n *Node) answerEarly(nc net.Conn, request *http.Request, script Script, attempt *Attempt) bool {
	if _, err := io.CopyN(io.Discard, request.Body, readPiece); err != nil {
		return false
	}
	n.pause(script.Work)
	if !n.respond(nc, script, attempt) {
		return false
	}
	n.update(attempt, func(a *Attempt) { a.Complete = true })
	if !n.readBody(request, script) {
		return false
	}
	n.update(attempt, func(a *Attempt) { a.ReceivedAt = time.Now() })
	return script.Framing != Close
}

func (n *Node) begin(request *http.Request) *Attempt {
	a := &Attempt{ID: request.Header.Get("X-Request-Id"), BeganAt: time.Now()}
	if _, err := fmt.Sscanf(request.URL.Path, "/%s", &a.Class); err == nil {
		for i, c := range a.Class {
			if c == '/' {
				a.Class = a.Class[:i]
				break
			}
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.attempts[a.ID] = append(n.attempts[a.ID], a)
	return a
}

func (n *Node) update(a *Attempt, change func(*Attempt)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(a)
}

// readBody reads the body of a request at the script's pace. It reports whether the body is complete.
func (n *Node) readBody(request *http.Request, script Script) bool {
	began, received, rested := time.Now(), 0, 0
	piece := make([]byte, readPiece)
	for {
		count, err := request.Body.Read(piece)
		received += count
		if err != nil {
			return err == io.EOF //nolint:errorlint // a truncated body is another error
		}
		if rested < len(script.ReadRests) && int64(received)*int64(len(script.ReadRests)+1) >= request.ContentLength*int64(rested+1) {
			n.pause(script.ReadRests[rested])
			rested++
		}
		if script.ReadRate > 0 {
			n.pause(time.Until(began.Add(time.Duration(received) * time.Second / time.Duration(script.ReadRate))))
		}
	}
}

// pause waits for a duration or the end of the node.
func (n *Node) pause(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.stop:
	}
}

// respond writes a response as the script tells. It reports whether all of it was written.
func (n *Node) respond(nc net.Conn, script Script, attempt *Attempt) bool {
	head := "HTTP/1.1 200 OK\r\n"
	switch script.Framing {
	case Chunked:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	case Close:
		head += "Connection: close\r\n\r\n"
	default:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", script.Size)
	}
	sizes, pause := script.pieces()
	switch script.Pattern {
	case LateBody:
		if _, err := io.WriteString(nc, head); err != nil {
			return false
		}
		head = ""
		n.pause(script.Duration)
	case Rhythm:
		if head = n.beginRhythm(nc, head, script); head == brokenHead {
			return false
		}
	case Stops:
		_ = n.writePiece(nc, head, make([]byte, script.Size/2), Length, attempt)
		n.awaitClose(nc)
		return false
	}
	for i, size := range sizes {
		switch {
		case i > 0 && script.Pattern == Rhythm:
			n.pause(script.Rests[i-1])
		case i > 0:
			n.pause(pause)
		}
		if !n.writePiece(nc, head, Body(size), script.Framing, attempt) {
			return false
		}
		head = ""
	}
	if script.Framing == Chunked {
		_, err := io.WriteString(nc, "0\r\n\r\n")
		return err == nil
	}
	return true
}

// brokenHead stands for a head that could not be written.
const brokenHead = "broken"

// beginRhythm writes the head, or its first half, with the rests of the script. It returns what of it goes with the first piece of the
// body.
func (n *Node) beginRhythm(nc net.Conn, head string, script Script) (rest string) {
	if script.HeadRest > 0 {
		half := len(head) / 2
		if _, err := io.WriteString(nc, head[:half]); err != nil {
			return brokenHead
		}
		n.pause(script.HeadRest)
		head = head[half:]
	}
	if script.BodyRest > 0 {
		if _, err := io.WriteString(nc, head); err != nil {
			return brokenHead
		}
		n.pause(script.BodyRest)
		head = ""
	}
	return head
}

// writePiece writes a piece of a body, with the head if it is the first one.
func (n *Node) writePiece(nc net.Conn, head string, piece []byte, framing Framing, attempt *Attempt) bool {
	message := append([]byte(nil), head...)
	if framing == Chunked && len(piece) > 0 {
		message = append(fmt.Appendf(message, "%x\r\n", len(piece)), piece...)
		message = append(message, "\r\n"...)
	} else {
		message = append(message, piece...)
	}
	if _, err := nc.Write(message); err != nil {
		return false
	}
	n.update(attempt, func(a *Attempt) { a.BodyWritten += len(piece) })
	return true
}

// awaitClose waits until the scheduler has closed the connection.
func (n *Node) awaitClose(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) }

// Body returns a response body of a size. All bytes are the same, so that pieces of any size form it.
func Body(size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = 'b'
	}
	return body
}
