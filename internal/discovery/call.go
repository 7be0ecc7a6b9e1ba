package discovery

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
)

const (
	watchPath    = "/registry/instances"
	dialTimeout  = time.Second
	maxLineBytes = 4 << 20 // maximum size of one list in a watch

	maxInterimResponses = 8  // 1xx responses accepted before the final one
	chunkedLength       = -1 // content length that fasthttp reports for a chunked body
)

// runCall opens a connection, requests the changes after the version, and passes each message to put until the
// connection ends. It sets no read deadline, because watchtimer detects silent calls and the watcher then cancels the
// context.
func (w *Watcher) runCall(ctx context.Context, address string, version int64, put func(callMessage)) error {
	conn, err := transport.DialTCP(ctx, address, dialTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var req fasthttp.Request
	req.SetRequestURI(watchPath + "?watch=1&after=" + strconv.FormatInt(version, 10))
	req.Header.SetHost(address)
	writer := bufio.NewWriter(conn)
	if err = req.Write(writer); err == nil {
		err = writer.Flush()
	}
	if err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	head, err := readHead(reader)
	if err != nil {
		return err
	}
	if head.StatusCode() != fasthttp.StatusOK {
		return &CallRejectedError{head.StatusCode()}
	}
	return w.readLines(body(head, reader), put)
}

// readHead reads the head of the final response and skips interim (1xx) responses.
func readHead(br *bufio.Reader) (*fasthttp.ResponseHeader, error) {
	head := &fasthttp.ResponseHeader{}
	for range maxInterimResponses {
		if err := head.Read(br); err != nil {
			return nil, err
		}
		if status := head.StatusCode(); status < 100 || status > 199 {
			return head, nil
		}
	}
	return nil, &MalformedError{Reason: "too many interim responses"}
}

// body returns the response's body. Each byte can be read as soon as it has arrived. The stream of fasthttp is not used,
// because it does not return the end of a chunk before the line break after the chunk has arrived as well.
func body(head *fasthttp.ResponseHeader, br *bufio.Reader) io.Reader {
	switch length := head.ContentLength(); {
	case length == chunkedLength:
		return httputil.NewChunkedReader(br)
	case length >= 0:
		return io.LimitReader(br, int64(length))
	}
	return br
}

// readLines reads the messages of a watch. A list may be indented and span several lines, up to the brace that closes its
// first one. Within a list no line is empty or begins with an opening brace that is not indented, so such a line shows that
// the list was truncated.
//
// A list that cannot be decoded is logged and ends the watch. The current list and its version stay, so that the next call
// requests what was missed. The malformed list is not reported as a message, because watchtimer would then close other
// calls that may still be valid.
func (w *Watcher) readLines(stream io.Reader, put func(callMessage)) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	var object []byte
	var nesting jsonNesting
	lastVersion := int64(-1)
	for scanner.Scan() {
		rawLine := scanner.Bytes()
		text := bytes.TrimSpace(rawLine)
		truncated := object != nil && (len(text) == 0 || rawLine[0] == '{')
		if len(text) == 0 && !truncated {
			put(callMessage{unchanged: lastVersion < 0}) // an empty line after a list is only a heartbeat
			continue
		}
		if !truncated {
			open := nesting.continues(text)
			if object != nil || open {
				if object = append(append(object, text...), '\n'); len(object) > maxLineBytes {
					return &MalformedError{Reason: fmt.Sprintf("over %d bytes", maxLineBytes)}
				}
				text = object
			}
			if open {
				continue
			}
		} else {
			text = object
		}
		list, err := Decode(text)
		object, nesting = nil, jsonNesting{}
		if err != nil {
			if w.allowInvalidListLog() {
				w.Log.WithFields(operr.Fields(err)).Warn("watch line is malformed, closing the watch")
			}
			return err
		}
		w.logInvalidParts(&list)
		if list.Version < lastVersion { // an older list after a newer one counts only as a heartbeat
			put(callMessage{})
			continue
		}
		lastVersion = list.Version
		put(callMessage{list: &list})
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return io.EOF
}

// jsonNesting tracks the nesting of a JSON text that arrives in pieces.
type jsonNesting struct {
	level             int
	inString, escaped bool
}

// continues reads the next piece and reports whether an object or array is still open at its end.
func (n *jsonNesting) continues(piece []byte) bool {
	for _, b := range piece {
		switch {
		case n.escaped:
			n.escaped = false
		case n.inString:
			n.escaped, n.inString = b == '\\', b != '"'
		case b == '"':
			n.inString = true
		case b == '{' || b == '[':
			n.level++
		case b == '}' || b == ']':
			n.level--
		}
	}
	return n.level > 0
}
