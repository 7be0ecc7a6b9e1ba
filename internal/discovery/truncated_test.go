package discovery

import (
	"context"
	"strings"
	"testing"
	"time"

	"wheatsaddle/policy"
)

// A line is applied when it has arrived, before the line end after its chunk.
func TestLineIsAppliedBeforeItsChunkEnds(t *testing.T) {
	s := newScriptedService(t)
	p := startWatcher(t, &Watcher{Address: s.Addr().String(), Timer: pushedSettings})
	c := s.call(t, 0)
	c.begin()
	c.write(strings.TrimSuffix(chunk(listText(1, true, entryText("a", "leaving", 0))+"\n"), "\r\n"))
	if n := receiveWithin(t, "the line", p.updates); statesOf(n) != "a:draining" {
		t.Errorf("update %+v", n)
	}
}

// watchStream returns a watch of three lists and a heartbeat, and the offsets at which each list has arrived completely.
// Each list is sent in two chunks; the indented one is divided between its lines.
func watchStream() (stream string, listEnds []int) {
	lists := []string{listText(1, true, entryText("a", "active", 0)), "", indented(listText(2, false, entryText("a", "leaving", 0))),
		listText(3, false, entryText("b", "active", 0))}
	stream = answerHead
	for i, l := range lists {
		if l == "" {
			stream += chunk("\n")
			continue
		}
		text, at := l, len(l)/2
		if i < len(lists)-1 {
			text += "\n"
		}
		if j := strings.IndexByte(l, '\n'); j >= 0 {
			at = j + 1
		}
		stream += chunk(text[:at])
		last := chunk(text[at:])
		listEnds = append(listEnds, len(stream)+strings.LastIndexByte(last, '}')+1)
		stream += last
	}
	return stream + "0\r\n\r\n", listEnds
}

// A watch may be cut at any byte, by an end or a reset: exactly the lists that have arrived completely are applied, the
// last of them also without its line end.
func TestWatchCutAnywhere(t *testing.T) {
	stream, listEnds := watchStream()
	s := newScriptedService(t)
	for _, reset := range []bool{false, true} {
		for cut := range len(stream) + 1 {
			complete := 0
			for _, at := range listEnds {
				if cut >= at {
					complete++
				}
			}
			received := s.versionsUntilEnd(t, stream[:cut], reset)
			if len(received) != complete {
				t.Fatalf("cut at %d (reset %v): %d lists received, want %d, after %q", cut, reset, len(received), complete, stream[:cut])
			}
			for i, version := range received {
				if version != int64(i+1) {
					t.Fatalf("cut at %d: version %d received as number %d", cut, version, i+1)
				}
			}
		}
	}
}

// versionsUntilEnd runs one call that reads the text and then an end or a reset, and returns the versions of the lists
// that the call read. The call must end with an error.
func (s *scriptedService) versionsUntilEnd(t *testing.T, text string, reset bool) (versions []int64) {
	t.Helper()
	w := &Watcher{Address: s.Addr().String()}
	w.elapsed = func() time.Duration { return 0 }
	w.lastInvalidListLog.Store(1) // nothing is logged
	ended := make(chan error)
	go func() {
		ended <- w.runCall(context.Background(), w.Address, 0, func(message callMessage) {
			if message.list != nil {
				versions = append(versions, message.list.Version)
			}
		})
	}()
	c := receiveWithin(t, "a call", s.calls)
	c.write(text)
	if reset {
		c.reset()
	} else {
		_ = c.Close()
	}
	if err := receiveWithin(t, "the end", ended); err == nil {
		t.Fatalf("no error after %q", text)
	}
	return versions
}

// A change that was truncated in the middle of a line or of an indented list is requested again from the current
// version; a list that begins after it on the same watch is not taken for its end.
func TestTruncatedLineIsRequestedAgain(t *testing.T) {
	one, two, three := listText(1, true, entryText("a", "active", 0)), listText(2, false, entryText("a", "leaving", 0)), listText(3, false, entryText("b", "active", 0))
	for name, truncate := range map[string]func(*scriptedCall){
		"half a line, an end":                   func(c *scriptedCall) { c.write(chunk(two[:40])); c.Close() },
		"half a line, a reset":                  func(c *scriptedCall) { c.write(chunk(two[:40])); c.reset() },
		"half a chunk, an end":                  func(c *scriptedCall) { c.write(chunk(two)[:40]); c.Close() },
		"half a line, another":                  func(c *scriptedCall) { c.write(chunk(two[:40] + "\n" + three + "\n")) },
		"half an indented list, another":        func(c *scriptedCall) { c.write(chunk(indented(two)[:60] + "\n" + three + "\n")) },
		"half an indented list, a heartbeat":    func(c *scriptedCall) { c.write(chunk(indented(two)[:60] + "\n")); c.lines("") },
		"half an indented list, a reset":        func(c *scriptedCall) { c.write(chunk(indented(two)[:60])); c.reset() },
		"half an indented list, an end":         func(c *scriptedCall) { c.write(chunk(indented(two)[:60])); c.Close() },
		"half an indented list, a complete one": func(c *scriptedCall) { c.write(chunk(indented(two)[:60] + "\n" + indented(three) + "\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedService(t)
			p := startWatcher(t, &Watcher{Address: s.Addr().String(), Timer: pushedSettings})
			c := s.call(t, 0)
			c.begin(one)
			receiveWithin(t, "the first list", p.updates)
			truncate(c)
			if n := receiveWithin(t, "the end of the watch", p.updates); n.Kind != policy.ListFailed {
				t.Fatalf("update %+v of a truncated line", n)
			}
			p.advance(pushedRetryInterval)
			s.call(t, 1).begin(two)
			if n := receiveWithin(t, "the drain", p.updates); statesOf(n) != "a:draining" {
				t.Errorf("update %+v", n)
			}
		})
	}
}
