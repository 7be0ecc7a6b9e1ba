package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

const (
	defaultVolume = 1
	writePiece    = 4 << 10          // bytes
	readPiece     = 16 << 10         // bytes
	overdue       = 10 * time.Second // after the deadline of a request; a client that has waited longer gives up
)

// Request is one request of a client.
type Request struct {
	ID       string
	Class    string
	Shard    int
	Volume   uint64 // 0: defaultVolume
	Key      string // idempotency key; "": none
	Deadline time.Duration
	Body     int // bytes; 0: a read
	Script   pacednode.Script
	Fields   string // further header fields, each with its CRLF
}

// head returns the request's head.
func (r *Request) head() string {
	method, length := "GET", ""
	if r.Body > 0 {
		method, length = "PUT", fmt.Sprintf("Content-Length: %d\r\n", r.Body)
	}
	if r.Key != "" {
		length += "Idempotency-Key: " + r.Key + "\r\n"
	}
	return fmt.Sprintf("%s /%s/x?%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nTier: %s\r\nCookie: extent=%016x\r\n"+
		"X-Deadline-Ms: %d\r\nIO-Info: volume=%016x,units=1,shard=%d,hosts=1\r\n%s%s\r\n", method, r.Class, r.Script.Query(r.Shard), r.ID, planName,
		1, r.Deadline.Milliseconds(), max(r.Volume, defaultVolume), r.Shard, length, r.Fields)
}

// Outcome is what the client of a request saw.
type Outcome struct {
	Code        int // 0: no answer
	Body        int // bytes of the answer's body
	Complete    bool
	Closes      bool      // the daemon closes the connection after the answer
	SentAt      time.Time // when the last byte was written; zero: it was not
	FirstByteAt time.Time // of the answer; zero: there was none
	EndedAt     time.Time
	Err         error
}

// Served reports whether the answer is a complete one with code 200.
func (o Outcome) Served() bool { return o.Code == http.StatusOK && o.Complete }

// Rejected reports whether the request was rejected, and may be sent again.
func (o Outcome) Rejected() bool { return o.Code == http.StatusServiceUnavailable && o.Complete }

// Send sends a request on a new connection and waits for its end.
func (d *Deployment) Send(r Request) Outcome {
	nc, err := net.DialTimeout("tcp", d.Listen, time.Second)
	if err != nil {
		return Outcome{Err: err, EndedAt: time.Now()}
	}
	defer func() { _ = nc.Close() }()
	return exchange(nc, bufio.NewReaderSize(nc, readPiece), r, 0)
}

// exchange sends a request and reads its answer, at readRate bytes per second unless that is 0.
func exchange(nc net.Conn, reader *bufio.Reader, r Request, readRate int) (o Outcome) {
	defer func() { o.EndedAt = time.Now() }()
	_ = nc.SetDeadline(time.Now().Add(r.Deadline + overdue))
	if _, o.Err = io.WriteString(nc, r.head()); o.Err == nil {
		o.Err = writeBody(nc, r.Body)
	}
	if o.Err == nil {
		o.SentAt = time.Now()
	}
	if _, err := reader.Peek(1); err != nil { // after a failed write too: the answer may have come early
		o.Err = err
		return o
	}
	o.FirstByteAt, o.Err = time.Now(), nil
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		o.Err = err
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.Code, o.Closes = response.StatusCode, response.Close
	o.Body, o.Err = readAnswer(response.Body, readRate)
	o.Complete = o.Err == nil
	return o
}

// writeBody writes a body of a size.
func writeBody(nc net.Conn, size int) error {
	if size == 0 {
		return nil
	}
	_, err := nc.Write(make([]byte, size))
	return err
}

// readAnswer reads a body to its end, at a rate in bytes per second unless that is 0, and returns its length.
func readAnswer(body io.Reader, rate int) (size int, err error) {
	began, piece := time.Now(), make([]byte, readPiece)
	for {
		n, err := body.Read(piece)
		size += n
		if err == io.EOF { //nolint:errorlint // io.EOF is the end, and a wrapped one a truncation
			return size, nil
		}
		if err != nil {
			return size, err
		}
		if rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(size) * time.Second / time.Duration(rate))))
		}
	}
}
