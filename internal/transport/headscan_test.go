package transport

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// For any requests, cut at any points, each head and each body of a known length is delivered apart from what follows.
func TestHeadScannerFindsEndsAtAnyCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var ends []int // of heads and bodies
		for range rapid.IntRange(1, 5).Draw(t, "requests") {
			body := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body")
			name := rapid.SampledFrom([]string{"Content-Length", "content-length", "CONTENT-LENGTH"}).Draw(t, "name")
			stream = append(stream, rapid.SampledFrom([]string{"", "\r\n"}).Draw(t, "before")...)
			stream = append(stream, "PUT /x HTTP/1.1\r\n"...)
			for i := range rapid.IntRange(0, maxHeadLines-4).Draw(t, "fields") {
				stream = fmt.Appendf(stream, "a%d: %d\r\n", i, i)
			}
			stream = fmt.Appendf(stream, "%s: %d\r\n\r\n", name, len(body))
			ends = append(ends, len(stream))
			if len(body) > 0 {
				stream = append(stream, body...)
				ends = append(ends, len(stream))
			}
		}
		var s headScanner
		at := 0
		for at < len(stream) {
			cut := rapid.IntRange(1, len(stream)-at).Draw(t, "cut")
			n, tooMany := s.scan(stream[at : at+cut])
			if tooMany || n == 0 {
				t.Fatalf("%d bytes delivered, too many is %v", n, tooMany)
			}
			if want := min(cut, ends[0]-at); n != want {
				t.Fatalf("%d bytes of %d delivered, want %d", n, cut, want)
			}
			if at += n; at == ends[0] {
				ends = ends[1:]
			}
		}
	})
}

// A head with too many lines is found however it is cut, and at once; a body in chunks lasts until the response.
func TestHeadScannerBounds(t *testing.T) {
	head := []byte("GET /x HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 2*maxHeadLines))
	for _, piece := range []int{1, 7, len(head)} {
		var s headScanner
		delivered := 0
		for rest := head; len(rest) > 0; {
			n, tooMany := s.scan(rest[:min(piece, len(rest))])
			delivered += n
			if tooMany {
				break
			}
			rest = rest[n:]
		}
		if lines := bytes.Count(head[:delivered], []byte("\n")); lines != maxHeadLines+1 {
			t.Errorf("in pieces of %d bytes %d lines were delivered", piece, lines)
		}
	}
	var s headScanner
	chunked := []byte("PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
	if n, _ := s.scan(append(chunked, "5\r\nhello\r\n"...)); n != len(chunked) {
		t.Errorf("%d bytes of the head delivered, want %d", n, len(chunked))
	}
	if n, _ := s.scan(head); n != len(head) {
		t.Errorf("%d bytes of the chunks delivered, want all", n)
	}
	s.responseDone()
	if _, tooMany := s.scan(head); !tooMany {
		t.Error("the head after the response is not scanned")
	}
}
