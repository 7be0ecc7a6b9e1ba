package httpfront

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// ambiguousHeads are responses of which two parsers may disagree on where they end.
var ambiguousHeads = map[string]string{
	"length and encoding":   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
	"two lengths":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
	"the same length twice": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n",
	"signed length":         "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n",
	"bare line feeds":       "HTTP/1.1 200 OK\nContent-Length: 2\n\n",
	"space before colon":    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n",
	"another encoding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	"folded line":           "HTTP/1.1 200 OK\r\nX-A: 1\r\n b\r\nContent-Length: 2\r\n\r\n",
}

// fasthttp and net/http each accept some ambiguous heads, which is why checkHead checks them itself.
// The table in docs/design/libraries.md is the log of this test (go test -v -run AmbiguousHeads).
func TestAmbiguousHeadsAreRejected(t *testing.T) {
	acceptedByFasthttp, acceptedByNetHTTP := 0, 0
	for name, text := range ambiguousHeads {
		c := &conn{reader: bufio.NewReader(strings.NewReader(text))}
		lines, err := c.readHead()
		if err == nil {
			_, err = checkHead(lines, uniqueResponseFields)
		}
		if err == nil {
			t.Errorf("%s: accepted by this package", name)
		}
		var h fasthttp.ResponseHeader
		fasthttpAccepts := h.Read(bufio.NewReader(strings.NewReader(text))) == nil
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err == nil {
			r.Body.Close()
			acceptedByNetHTTP++
		}
		if fasthttpAccepts {
			acceptedByFasthttp++
		}
		t.Logf("%-22s accepted by fasthttp %v, by net/http %v, here false", name, fasthttpAccepts, err == nil)
	}
	if acceptedByFasthttp == 0 || acceptedByNetHTTP == 0 {
		t.Errorf("fasthttp accepts %d and net/http %d of the ambiguous heads: checkHead may be unnecessary", acceptedByFasthttp, acceptedByNetHTTP)
	}
}

// BenchmarkParsers compares the parsing and encoding of this package with the libraries'.
func BenchmarkParsers(b *testing.B) {
	text := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Load: inflight=7,queue=2,util=0.61\r\nOther-Hosts: 12\r\nContent-Length: 2\r\n\r\nok")
	lines := text[len("HTTP/1.1 200 OK\r\n") : len(text)-4]
	key, form := []byte("7f3a9c21e0b4d655"), regexp.MustCompile(`^[0-9a-fA-F]{16}$`)
	rd := bytes.NewReader(nil)
	br := bufio.NewReader(rd)
	a, _ := attempt(b, inOneMinute())
	message, out, w := a.Request.Payload.(*nodeRequest), []byte(nil), bufio.NewWriter(io.Discard)
	var q fasthttp.Request
	if err := q.Read(bufio.NewReader(strings.NewReader(validRequest))); err != nil {
		b.Fatal(err)
	}
	reset := func() { rd.Reset(text); br.Reset(rd) }
	for _, x := range []struct {
		name string
		do   func()
	}{
		{"head/here", func() { _, _ = checkHead(lines, uniqueResponseFields) }},
		{"head/fasthttp", func() { var h fasthttp.ResponseHeader; reset(); _ = h.Read(br) }},
		{"head/net-http", func() { reset(); _, _ = http.ReadResponse(br, nil) }}, //nolint:bodyclose // the reader is in memory
		{"encode/here", func() { out = message.encode(out[:0], time.Second) }},
		{"encode/fasthttp", func() { q.Header.Set("X-Deadline-Ms", "1000"); _ = q.Write(w) }},
		{"key/here", func() { isHex16(key) }},
		{"key/regexp", func() { form.Match(key) }},
	} {
		b.Run(x.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.do()
			}
		})
	}
}
