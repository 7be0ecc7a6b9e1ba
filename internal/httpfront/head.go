package httpfront

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// fasthttp parses heads leniently: it accepts Content-Length together with Transfer-Encoding, repeated fields and
// bare line feeds. If two parsers disagree on where a message ends, another message can be smuggled in its body.
// Therefore heads are also checked here, and ambiguous messages are rejected.

// uniqueRequestFields are the header fields that a request may contain at most once.
var uniqueRequestFields = fieldSet("Host", "X-Request-Id", "Tier", "Cookie", "X-Deadline-Ms", "IO-Info", "Idempotency-Key", "X-Retry")

// fieldSet returns a set of field names in lower case, including those that frame a message.
func fieldSet(names ...string) map[string]bool {
	set := map[string]bool{"content-length": true, "transfer-encoding": true}
	for _, n := range names {
		set[strings.ToLower(n)] = true
	}
	return set
}

// framing says how a message is framed: by its length or in chunks.
type framing struct{ length, chunked bool }

var errFraming = errors.New("head: both a length and an encoding")

// checkHead checks the header lines of a message, each with its CRLF. An empty last line may follow. The fields in
// unique must not be repeated.
func checkHead(lines []byte, unique map[string]bool) (f framing, err error) {
	var seen [16]string // an array, as the names are few and this avoids an allocation per message
	n := 0
	for len(lines) > 0 {
		line, rest, ok := bytes.Cut(lines, []byte("\r\n"))
		if !ok {
			return f, errors.New("head: a line without its end")
		}
		if lines = rest; len(line) == 0 {
			if len(rest) > 0 {
				return f, errors.New("head: lines after its end")
			}
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isFieldName(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return f, fmt.Errorf("head: %.40q is no field", line)
		}
		var lower [24]byte
		if len(name) > len(lower) {
			continue
		}
		key := lower[:copy(lower[:], name)]
		for i, b := range key {
			if 'A' <= b && b <= 'Z' {
				key[i] = b | 0x20
			}
		}
		if !unique[string(key)] {
			continue
		}
		for _, s := range seen[:n] {
			if s == string(key) {
				return f, fmt.Errorf("head: %s twice", key)
			}
		}
		if n < len(seen) {
			seen[n] = string(key)
			n++
		}
		value = bytes.Trim(value, " \t")
		switch string(key) {
		case "content-length":
			f.length = true
			if !isLength(value) {
				return f, fmt.Errorf("head: Content-Length: %.20q is no length", value)
			}
		case "transfer-encoding":
			f.chunked = true
			if !bytes.EqualFold(value, []byte("chunked")) {
				return f, fmt.Errorf("head: Transfer-Encoding: %.20q is not known", value)
			}
		}
	}
	if f.length && f.chunked {
		return f, errFraming
	}
	return f, nil
}

// isLength reports whether v is 1 to 18 decimal digits.
func isLength(v []byte) bool {
	for _, b := range v {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(v) > 0 && len(v) <= 18
}

// isFieldName reports whether a name is a token of RFC 9110.
func isFieldName(v []byte) bool {
	for _, b := range v {
		if !('a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0) {
			return false
		}
	}
	return len(v) > 0
}
