package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/policy"
)

// testTimeout is how long a test waits for an expected event before it fails.
const testTimeout = 20 * time.Second

const answerHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// scriptedService is a list's service that writes what the test says.
type scriptedService struct {
	net.Listener
	calls chan *scriptedCall
}

// scriptedCall is one call of a scriptedService.
type scriptedCall struct {
	net.Conn
	uri string
}

func newScript(t *testing.T) *scriptedService {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &scriptedService{ln, make(chan *scriptedCall, 100)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			var q fasthttp.Request
			if q.Read(bufio.NewReader(nc)) != nil {
				nc.Close()
				continue
			}
			s.calls <- &scriptedCall{nc, string(q.RequestURI())}
		}
	}()
	return s
}

// receiveWithin receives an expected value within testTimeout.
func receiveWithin[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("%s: did not come", what)
		panic("not reached")
	}
}

// call is the next call, which asks for what came after a version.
func (s *scriptedService) call(t *testing.T, after int) *scriptedCall {
	t.Helper()
	c := receiveWithin(t, "a call", s.calls)
	t.Cleanup(func() { c.Close() })
	if want := fmt.Sprint(watchPath, "?watch=1&after=", after); c.uri != want {
		t.Errorf("asked %s, want %s", c.uri, want)
	}
	return c
}

func (c *scriptedCall) write(text string) { c.Write([]byte(text)) }

// begin answers with lines.
func (c *scriptedCall) begin(lines ...string) {
	c.write(answerHead)
	c.lines(lines...)
}

func (c *scriptedCall) lines(lines ...string) {
	for _, l := range lines {
		c.write(chunk(l + "\n"))
	}
}

// reset ends the connection by a reset.
func (c *scriptedCall) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// entryText is an entry of a list.
func entryText(name, status string, since int) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q,"weight":1,"since_ms":%d}`, name, status, since)
}

// statesOf lists the nodes of news with their states.
func statesOf(n core.ListUpdate) string {
	var all []string
	for _, x := range n.Nodes {
		all = append(all, fmt.Sprintf("%s:%v", x.ID, map[policy.NodeState]string{policy.NodeUp: "up", policy.NodeDraining: "draining",
			policy.NodeRemoved: "gone"}[x.State]))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

func indented(text string) string {
	var b bytes.Buffer
	json.Indent(&b, []byte(text), "", "  ")
	return b.String()
}

var pushedSettings = watchtimer.Settings{Pushed: true, DrainGrace: time.Second}

const pushedRetryInterval = 100 * time.Millisecond // of that clock

// A line is told when it has come, though the line end after its chunk is held back.
func TestLineIsAppliedBeforeItsChunkEnds(t *testing.T) {
	s := newScript(t)
	p := startWatcher(t, &Watcher{Address: s.Addr().String(), Timer: pushedSettings})
	c := s.call(t, 0)
	c.begin()
	c.write(strings.TrimSuffix(chunk(listText(1, true, entryText("a", "leaving", 0))+"\n"), "\r\n"))
	if n := receiveWithin(t, "the line", p.updates); statesOf(n) != "a:draining" {
		t.Errorf("told %+v", n)
	}
}

// A watch may be cut at any byte, by an end or a reset: the lists that have come whole are told, the last of them
// also without its line end, and nothing else.
func TestWatchCutAnywhere(t *testing.T) {
	lists := []string{listText(1, true, entryText("a", "active", 0)), "", indented(listText(2, false, entryText("a", "leaving", 0))),
		listText(3, false, entryText("b", "active", 0))}
	stream, listEnds := answerHead, []int{}
	for i, l := range lists {
		if l == "" {
			stream += chunk("\n")
			continue
		}
		// Each list comes in two chunks, the indented one is cut between its lines.
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
	stream += "0\r\n\r\n"
	s := newScript(t)
	for _, reset := range []bool{false, true} {
		for cut := range len(stream) + 1 {
			w := &Watcher{Address: s.Addr().String()}
			w.elapsed = func() time.Duration { return 0 }
			w.lastInvalidListLog.Store(1) // nothing is logged
			received := make(chan int64, 10)
			ended := make(chan error)
			go func() {
				ended <- w.runCall(context.Background(), w.Address, 0, func(l callMessage) {
					if l.list != nil {
						received <- l.list.Version
					}
				})
			}()
			c := receiveWithin(t, "a call", s.calls)
			c.write(stream[:cut])
			if reset {
				c.reset()
			} else {
				c.Close()
			}
			if err := receiveWithin(t, "the end", ended); err == nil {
				t.Fatalf("cut at %d: no error", cut)
			}
			want := 0
			for _, at := range listEnds {
				if cut >= at {
					want++
				}
			}
			if len(received) != want {
				t.Fatalf("cut at %d (reset %v): %d lists told, want %d, after %q", cut, reset, len(received), want, stream[:cut])
			}
			for i := range want {
				if index := <-received; index != int64(i+1) {
					t.Fatalf("cut at %d: version %d told as number %d", cut, index, i+1)
				}
			}
		}
	}
}

// What was cut in the middle of a line, or of an indented list, is asked for again from the version held; a list
// that begins after it on the same watch is not taken for its rest.
func TestTruncatedLineIsRequestedAgain(t *testing.T) {
	one, two, three := listText(1, true, entryText("a", "active", 0)), listText(2, false, entryText("a", "leaving", 0)), listText(3, false, entryText("b", "active", 0))
	for name, truncate := range map[string]func(*scriptedCall){
		"half a line, an end":                func(c *scriptedCall) { c.write(chunk(two[:40])); c.Close() },
		"half a line, a reset":               func(c *scriptedCall) { c.write(chunk(two[:40])); c.reset() },
		"half a chunk, an end":               func(c *scriptedCall) { c.write(chunk(two)[:40]); c.Close() },
		"half a line, another":               func(c *scriptedCall) { c.write(chunk(two[:40] + "\n" + three + "\n")) },
		"half an indented list, another":     func(c *scriptedCall) { c.write(chunk(indented(two)[:60] + "\n" + three + "\n")) },
		"half an indented list, a beat":      func(c *scriptedCall) { c.write(chunk(indented(two)[:60] + "\n")); c.lines("") },
		"half an indented list, a reset":     func(c *scriptedCall) { c.write(chunk(indented(two)[:60])); c.reset() },
		"half an indented list, an end":      func(c *scriptedCall) { c.write(chunk(indented(two)[:60])); c.Close() },
		"half an indented list, a whole one": func(c *scriptedCall) { c.write(chunk(indented(two)[:60] + "\n" + indented(three) + "\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			p := startWatcher(t, &Watcher{Address: s.Addr().String(), Timer: pushedSettings})
			c := s.call(t, 0)
			c.begin(one)
			receiveWithin(t, "the first list", p.updates)
			truncate(c)
			if n := receiveWithin(t, "the end of the watch", p.updates); n.Kind != policy.ListFailed {
				t.Fatalf("told %+v of a torn line", n)
			}
			p.advance(pushedRetryInterval)
			s.call(t, 1).begin(two)
			if n := receiveWithin(t, "the drain", p.updates); statesOf(n) != "a:draining" {
				t.Errorf("told %+v", n)
			}
		})
	}
}

// A silent watch stays in force while its replacements say nothing, or nothing that can be read: it may come back
// before them.
func TestSilentWatchAndReplacements(t *testing.T) {
	for name, answer := range map[string]func(*scriptedCall){
		"silent": func(c *scriptedCall) {},
		"a head": func(c *scriptedCall) { c.begin() },
		"torn":   func(c *scriptedCall) { c.begin(`{"index":`, "") },
		"bad":    func(c *scriptedCall) { c.begin("nonsense") },
		"reset":  func(c *scriptedCall) { c.reset() },
		"end":    func(c *scriptedCall) { c.Close() },
		"refused": func(c *scriptedCall) {
			c.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			p := startWatcher(t, &Watcher{Address: s.Addr().String(), Timer: pushedSettings})
			first := s.call(t, 0)
			first.begin(listText(1, true, entryText("a", "active", 0)))
			receiveWithin(t, "the first list", p.updates)
			p.advance(watchtimer.PushedSilenceTimeout)
			for range 3 {
				answer(s.call(t, 1)) // the crossing: a replacement is out and has said what it says
				p.advance(pushedRetryInterval)
			}
			first.lines(listText(2, false, entryText("a", "leaving", 0)))
			for {
				if n := receiveWithin(t, "the drain on the watch that was silent", p.updates); n.Kind != policy.ListFailed {
					if statesOf(n) != "a:draining" {
						t.Errorf("told %+v", n)
					}
					return
				}
			}
		})
	}
}

// A whole list of a version before the one held, from a source that lags or has begun its versions anew, is taken, and
// so is what comes after it; a drain and a leaving that were told are not taken back by it, unless the node
// has started anew. What a later line names counts as it says.
func TestOlderSnapshotKeepsDrainsAndRemovals(t *testing.T) {
	s := newScript(t)
	p := startWatcher(t, &Watcher{Address: s.Addr().String(), Timer: pushedSettings})
	expect := func(what, want string) {
		t.Helper()
		if n := receiveWithin(t, what, p.updates); statesOf(n) != want {
			t.Fatalf("%s: told %q, want %q", what, statesOf(n), want)
		}
	}
	c := s.call(t, 0)
	c.begin(listText(8, true, entryText("a", "active", 1), entryText("b", "active", 1), entryText("c", "leaving", 1), entryText("d", "active", 1)),
		listText(9, false, entryText("a", "leaving", 1), entryText("b", "left", 1)))
	expect("the first list", "a:up b:up c:draining d:up")
	expect("the drain", "a:draining b:gone")
	c.reset()
	expect("the reset", "")
	p.advance(pushedRetryInterval)
	c = s.call(t, 9)
	c.begin(listText(3, true, entryText("a", "active", 1), entryText("b", "active", 1), entryText("c", "active", 2), entryText("d", "active", 1)))
	expect("an older list", "a:draining c:up d:up")
	c.lines(listText(4, false, entryText("d", "leaving", 1)))
	expect("what came after it", "d:draining")
	c.lines(listText(5, false, entryText("a", "active", 1)))
	expect("the end of the drain", "a:up")
	c.reset()
	expect("the reset", "")
	p.advance(pushedRetryInterval)
	s.call(t, 5).begin(listText(6, true, entryText("b", "active", 1), entryText("d", "leaving", 1)))
	expect("a later whole list, which lacks nodes", "b:up d:draining")
}

// What left while discovery was down, since the list that was held at the start, is told as gone: by a line, by a whole list that
// lacks it, and by one with a bad entry beside, which names what is missing.
func TestCachedNodeRemovedWhileDown(t *testing.T) {
	for text, want := range map[string]string{
		listText(45, false, entryText("b", "left", 0)):                                     "b:gone",
		listText(45, true, entryText("a", "active", 0)):                                    "a:up",
		listText(45, true, entryText("a", "active", 0), entryText("c", "no such word", 0)): "a:up b:gone",
	} {
		cached, err := Decode([]byte(listText(40, true, entryText("a", "active", 0), entryText("b", "active", 0))))
		if err != nil {
			t.Fatal(err)
		}
		s := newScript(t)
		p := startWatcher(t, &Watcher{Address: s.Addr().String(), Version: cached.Version, CachedNodes: cached.Nodes, Timer: pushedSettings})
		s.call(t, 40).begin(text)
		if n := receiveWithin(t, "the list", p.updates); statesOf(n) != want || (n.Kind == policy.ListReceived) != (want == "a:up") {
			t.Errorf("told %+v, want %s", n, want)
		}
	}
}

// descriptors are all that this process may open, while they are taken.
type descriptors struct {
	oldLimit syscall.Rlimit
	files    []*os.File
}

// take takes them all: what other tests give back meanwhile too.
func (d *descriptors) take(t *testing.T) {
	if d.files == nil {
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &d.oldLimit); err != nil {
			t.Error(err)
		}
	}
	for {
		f, err := os.Open(os.DevNull)
		if errors.Is(err, syscall.EMFILE) {
			return
		}
		if err != nil {
			t.Error(err)
			return
		}
		d.files = append(d.files, f)
		few := syscall.Rlimit{Cur: uint64(f.Fd()) + 1, Max: d.oldLimit.Max}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few); err != nil {
			t.Error(err)
			return
		}
	}
}

func (d *descriptors) release(t *testing.T) {
	if d.files == nil {
		return
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &d.oldLimit); err != nil {
		t.Error(err)
	}
	for _, f := range d.files {
		f.Close()
	}
	d.files = nil
}

// A call that gets no descriptor is made again as soon as any that failed.
func TestWatchWithoutFileDescriptors(t *testing.T) {
	s := newScript(t)
	var files descriptors
	defer files.release(t)
	var exhausted atomic.Bool
	failed := make(chan error, 10)
	w := &Watcher{Address: s.Addr().String(), Timer: pushedSettings}
	w.openWatch = func(ctx context.Context, address string, index int64, put func(callMessage)) error {
		if !exhausted.Load() {
			return w.runCall(ctx, address, index, put)
		}
		files.take(t)
		err := w.runCall(ctx, address, index, put)
		failed <- err
		return err
	}
	p := startWatcher(t, w)
	s.call(t, 0).begin(listText(1, true, entryText("a", "active", 0)))
	receiveWithin(t, "the first list", p.updates)
	exhausted.Store(true)
	p.advance(watchtimer.PushedSilenceTimeout) // another call is made beside the silent one
	for range 3 {
		if err := receiveWithin(t, "a call without a descriptor", failed); !errors.Is(err, syscall.EMFILE) {
			t.Fatalf("the call ended by %v, not for want of a descriptor", err)
		}
		p.advance(pushedRetryInterval)
	}
	receiveWithin(t, "a call without a descriptor", failed)
	exhausted.Store(false)
	files.release(t)
	p.advance(pushedRetryInterval)
	s.call(t, 1).begin(listText(2, false, entryText("a", "leaving", 0)))
	for {
		if n := receiveWithin(t, "the drain", p.updates); n.Kind != policy.ListFailed {
			if statesOf(n) != "a:draining" {
				t.Errorf("told %+v", n)
			}
			return
		}
	}
}
