package transport

import (
	"errors"
	"math"
)

// maxHeadLines is the number of lines that the head of a request may have. A parsed field takes many times the memory of a short
// line.
const maxHeadLines = 100

// ErrTooManyFields reports a request whose head has more than maxHeadLines lines.
var ErrTooManyFields = errors.New("read request: head has too many fields")

// unknownBody is the length of a chunked body.
const unknownBody = -1

// headScanner follows the requests in the bytes of a connection, so that a server gets no byte behind the end of a head before it
// has parsed that head, and no head with more than maxHeadLines lines. It finds the length of a body, and leaves the check of a
// head to the server. A body in chunks lasts until the response; what a client sends behind it is not scanned.
type headScanner struct {
	inBody   bool
	bodyLeft int64 // bytes of the body; unknownBody: in chunks
	lines    int   // of the current head
	line     headLine
	length   int64 // Content-Length of the current head; 0: none
	chunked  bool
}

// The field names that determine the length of a body, in lower case and with the colon.
const (
	lengthField   = "content-length:"
	encodingField = "transfer-encoding:"
)

// headLine is the part of a line that the scanner needs.
type headLine struct {
	size   int                      // bytes without the line's end
	name   [len(encodingField)]byte // first bytes, in lower case
	value  int64                    // number behind lengthField; negative: none
	carry  bool                     // a carriage return may belong to the line's end
	digits int
}

// reset begins a new head.
func (s *headScanner) reset() { *s = headScanner{} }

// responseDone ends a body in chunks.
func (s *headScanner) responseDone() {
	if s.inBody && s.bodyLeft == unknownBody {
		s.reset()
	}
}

// scan returns how many of the next bytes belong to the current head or body. tooMany reports that the head has too many lines.
func (s *headScanner) scan(b []byte) (n int, tooMany bool) {
	if s.inBody {
		return s.scanBody(b), false
	}
	for i, c := range b {
		if c != '\n' {
			s.line.add(c)
			continue
		}
		if s.endLine() {
			return i + 1, false
		}
		if s.lines > maxHeadLines {
			return i + 1, true
		}
	}
	return len(b), false
}

func (s *headScanner) scanBody(b []byte) int {
	if s.bodyLeft == unknownBody {
		return len(b)
	}
	n := int(min(int64(len(b)), s.bodyLeft))
	if s.bodyLeft -= int64(n); s.bodyLeft == 0 {
		s.reset()
	}
	return n
}

// endLine ends a line. It reports whether the head is complete.
func (s *headScanner) endLine() bool {
	line := s.line
	s.line = headLine{}
	if line.size == 0 && s.lines > 0 {
		s.endHead()
		return true
	}
	s.lines++ // also for empty lines before the request line
	switch {
	case line.startsWith(lengthField) && line.digits > 0:
		s.length = line.value
	case line.startsWith(encodingField):
		s.chunked = true
	}
	return false
}

// endHead begins the body, or the next head if there is none.
func (s *headScanner) endHead() {
	length, chunked := s.length, s.chunked
	s.reset()
	switch {
	case chunked:
		s.inBody, s.bodyLeft = true, unknownBody
	case length > 0:
		s.inBody, s.bodyLeft = true, length
	}
}

// add adds a byte to the line.
func (l *headLine) add(c byte) {
	if l.carry { // the carriage return before was not the line's end
		l.size++
	}
	if l.carry = c == '\r'; l.carry {
		return
	}
	if 'A' <= c && c <= 'Z' {
		c |= 0x20
	}
	if l.size < len(l.name) {
		l.name[l.size] = c
	}
	isDigit := '0' <= c && c <= '9'
	if l.size >= len(lengthField) && isDigit && l.value < math.MaxInt64/100 && l.startsWith(lengthField) {
		l.value = l.value*10 + int64(c-'0')
		l.digits++
	}
	l.size++
}

func (l *headLine) startsWith(name string) bool {
	return l.size >= len(name) && string(l.name[:len(name)]) == name
}
