package discovery

import (
	"context"
	"strings"
	"testing"
	"time"

	"wheatsaddle/policy"
)

// A line is applied when it has arrived, before the line break that ends its chunk.
func TestLineIsAppliedBeforeItsChunkEnds(t *testing.T) {
	service := newScriptedService(t)
	watcher := startWatcher(t, &Watcher{Address: service.Addr().String(), Timer: pushedSettings})
	call := service.call(t, 0)
	call.respond()
	call.write(strings.TrimSuffix(chunk(listText(1, true, entryText("a", "leaving", 0))+"\n"), "\r\n"))
	if update := receiveWithin(t, "the line", watcher.updates); statesOf(update) != "a:draining" {
		t.Errorf("update %+v, want the drain", update)
	}
}

// watchStream returns the response of a watch with three lists and a heartbeat, and the offset at which each list is
// complete. Each list is sent in two chunks. The indented list is split between two lines.
func watchStream() (stream string, listEnds []int) {
	lists := []string{listText(1, true, entryText("a", "active", 0)), "", indented(listText(2, false, entryText("a", "leaving", 0))),
		listText(3, false, entryText("b", "active", 0))}
	stream = responseHead
	for i, list := range lists {
		if list == "" {
			stream += chunk("\n")
			continue
		}
		text, splitAt := list, len(list)/2
		if i < len(lists)-1 {
			text += "\n"
		}
		if j := strings.IndexByte(list, '\n'); j >= 0 {
			splitAt = j + 1
		}
		stream += chunk(text[:splitAt])
		last := chunk(text[splitAt:])
		listEnds = append(listEnds, len(stream)+strings.LastIndexByte(last, '}')+1)
		stream += last
	}
	return stream + "0\r\n\r\n", listEnds
}

// A watch may be truncated at any byte, by the end of the connection or a reset. Exactly the lists that have arrived
// completely are applied, the last of them even without its line break.
func TestWatchCutAnywhere(t *testing.T) {
	stream, listEnds := watchStream()
	service := newScriptedService(t)
	for _, reset := range []bool{false, true} {
		for cut := range len(stream) + 1 {
			complete := 0
			for _, at := range listEnds {
				if cut >= at {
					complete++
				}
			}
			received := service.versionsUntilEnd(t, stream[:cut], reset)
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

// versionsUntilEnd runs a call that receives the text and then the end of the connection or a reset. It returns the
// versions of the lists that the call received. The call must end with an error.
func (s *scriptedService) versionsUntilEnd(t *testing.T, text string, reset bool) (versions []int64) {
	t.Helper()
	watcher := &Watcher{Address: s.Addr().String()}
	watcher.elapsed = func() time.Duration { return 0 }
	watcher.lastInvalidListLog.Store(1) // suppresses the log, as the interval since the last line never passes
	ended := make(chan error)
	go func() {
		ended <- watcher.runCall(context.Background(), watcher.Address, 0, func(message callMessage) {
			if message.list != nil {
				versions = append(versions, message.list.Version)
			}
		})
	}()
	call := receiveWithin(t, "a call", s.calls)
	call.write(text)
	if reset {
		call.reset()
	} else {
		_ = call.Close()
	}
	if err := receiveWithin(t, "the end", ended); err == nil {
		t.Fatalf("the call ended without an error after %q", text)
	}
	return versions
}

// A change that was truncated in the middle of a line or of an indented list is requested again with the current version. A
// list that begins after it on the same watch is not taken for the rest of the truncated one.
func TestTruncatedLineIsRequestedAgain(t *testing.T) {
	one, two, three := listText(1, true, entryText("a", "active", 0)), listText(2, false, entryText("a", "leaving", 0)), listText(3, false, entryText("b", "active", 0))
	for name, truncate := range map[string]func(*scriptedCall){
		"half a line, then the end":                  func(call *scriptedCall) { call.write(chunk(two[:40])); call.Close() },
		"half a line, then a reset":                  func(call *scriptedCall) { call.write(chunk(two[:40])); call.reset() },
		"half a chunk, then the end":                 func(call *scriptedCall) { call.write(chunk(two)[:40]); call.Close() },
		"half a line, then another list":             func(call *scriptedCall) { call.write(chunk(two[:40] + "\n" + three + "\n")) },
		"half an indented list, then another list":   func(call *scriptedCall) { call.write(chunk(indented(two)[:60] + "\n" + three + "\n")) },
		"half an indented list, then a heartbeat":    func(call *scriptedCall) { call.write(chunk(indented(two)[:60] + "\n")); call.lines("") },
		"half an indented list, then a reset":        func(call *scriptedCall) { call.write(chunk(indented(two)[:60])); call.reset() },
		"half an indented list, then the end":        func(call *scriptedCall) { call.write(chunk(indented(two)[:60])); call.Close() },
		"half an indented list, then a complete one": func(call *scriptedCall) { call.write(chunk(indented(two)[:60] + "\n" + indented(three) + "\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			service := newScriptedService(t)
			watcher := startWatcher(t, &Watcher{Address: service.Addr().String(), Timer: pushedSettings})
			call := service.call(t, 0)
			call.respond(one)
			receiveWithin(t, "the first list", watcher.updates)
			truncate(call)
			if update := receiveWithin(t, "the end of the watch", watcher.updates); update.Kind != policy.ListFailed {
				t.Fatalf("update %+v after a truncated line, want a failure of the list", update)
			}
			watcher.advance(pushedRetryInterval)
			service.call(t, 1).respond(two)
			if update := receiveWithin(t, "the drain", watcher.updates); statesOf(update) != "a:draining" {
				t.Errorf("update %+v, want the drain", update)
			}
		})
	}
}
