package discovery

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/policy"
)

// No update is lost or reported twice when a watch ends, falls silent or sends a malformed line.
func TestWatchSurvivesFaults(t *testing.T) {
	s, requests := newListService(t)
	p := startWatcher(t, &Watcher{Address: s.Addr(), Version: 7, Timer: watchtimer.Settings{Pushed: true}})
	const every = 100 * time.Millisecond // after it an agent that ended its call is called again
	full, change, failed := policy.ListReceived, policy.ListChanged, policy.ListFailed
	for i, x := range []struct {
		do   func()
		want policy.EventKind
	}{
		{func() {}, full}, {func() { s.Put(sampleNode) }, change},
		{func() { s.Reset() }, failed}, {func() { p.advance(every); s.Put(sampleNode) }, change},
		{func() {
			if err := s.Set(discovery.Fault{Silent: true, Answers: true}); err != nil {
				t.Fatal(err)
			}
			p.advance(watchtimer.PushedSilenceTimeout)
		}, change}, // the first line of a watch opened beside the silent one
		{func() { s.Say("malformed"); s.Put(sampleNode) }, failed}, {func() { p.advance(every) }, change}, // nothing after a malformed line is applied on its connection
	} {
		x.do()
		if n := <-p.updates; n.Kind != x.want {
			t.Fatalf("%d: %+v, want kind %v", i, n, x.want)
		}
	}
	for _, want := range []string{"7", "42", "43", "43"} {
		if uri := <-requests; uri != watchPath+"?watch=1&after="+want {
			t.Errorf("requested %s, want after=%s", uri, want)
		}
	}
	p.stop()
	codes := loggedCodes(t, p.hook)
	if !slices.Contains(codes, "list-malformed") || !slices.Contains(codes, "list-call") {
		t.Errorf("logged %v", codes)
	}
}

// After an address change the old watch is valid until the new one is answered, an address that does not answer has no
// effect, and a list older than the current one undoes no change.
func TestAddressChange(t *testing.T) {
	old, _ := newListService(t)
	later, requests := newListService(t)
	w := &Watcher{Address: old.Addr(), Timer: watchtimer.Settings{Pushed: true}}
	p := startWatcher(t, w)
	ctx, updates := p.ctx, p.updates
	<-updates
	if !w.SetAddress(ctx, "127.0.0.1:1") || !w.SetAddress(ctx, later.Addr()) {
		t.Error("the address change was not accepted")
	}
	<-updates // the new address has answered
	later.Say(listText(40, false, sampleEntry))
	later.Put(sampleNode)
	if n := <-updates; n.Kind != policy.ListChanged || n.Nodes[0].State != policy.NodeUp {
		t.Errorf("%+v, want the change of the new watch", n)
	}
	if uri := <-requests; uri != watchPath+"?watch=1&after=41" {
		t.Errorf("requested %s", uri)
	}
	p.stop()
	if w.Version != 42 || len(w.calls) != 1 || len(updates) != 0 {
		t.Errorf("version %d, %d calls open, %d more updates", w.Version, len(w.calls), len(updates))
	}
	if w.SetAddress(ctx, old.Addr()) {
		t.Error("a watcher that ended accepted an address change")
	}
}

// A rejected watch is opened again. Meanwhile the current list stays, and the end of the watch is reported once. The
// list that arrives spans several lines; an older one after it on the same watch undoes no change.
func TestRejectedWatchIsReopened(t *testing.T) {
	s, err := discovery.New(discovery.Options{Index: 8, IndentWatch: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Put(sampleNode)
	if err := s.Refuse(); err != nil {
		t.Fatal(err)
	}
	p := startWatcher(t, &Watcher{Address: s.Addr(), Timer: watchtimer.Settings{Pushed: true}})
	updates := p.updates
	if n := <-updates; n.Kind != policy.ListFailed {
		t.Errorf("first update %+v", n)
	}
	if codes := loggedCodes(t, p.hook); !slices.Equal(codes, []string{"list-refused"}) {
		t.Errorf("logged %v", codes)
	}
	if err := s.Up(); err != nil {
		t.Fatal(err)
	}
	p.advance(30 * time.Second) // past the backoff after a rejected call
	if n := <-updates; n.Kind != policy.ListReceived || len(n.Nodes) != 1 {
		t.Errorf("update %+v when the list arrived", n)
	}
	s.Say(listText(8, true))
	draining := sampleNode
	draining.Status = discovery.Leaving
	s.Put(draining)
	if n := <-updates; n.Kind != policy.ListChanged || n.Nodes[0].State != policy.NodeDraining {
		t.Errorf("update %+v, want the change after the old list", n)
	}
}

// A watch that begins with an empty line reports that nothing followed the current version; an empty line
// after a list that was not applied does not.
func TestUnchangedListIsReported(t *testing.T) {
	for name, x := range map[string]struct {
		firstLine string
		unchanged bool
	}{
		"empty line first":     {"", true},
		"empty line after one": {listText(3, false, sampleEntry), false},
	} {
		t.Run(name, func(t *testing.T) {
			unchanged := make(chan bool, 10)
			w := &Watcher{Address: serveLines(t, x.firstLine), Version: 7, OnUnchanged: func() { unchanged <- true },
				Timer: watchtimer.Settings{Pushed: true, DrainGrace: time.Minute}}
			updates := startWatcher(t, w).updates
			if x.unchanged {
				<-unchanged
				return
			}
			if n := <-updates; n.Kind != policy.ListFailed || len(unchanged) > 0 { // it ended after its two lines
				t.Errorf("%+v, %d", n, len(unchanged))
			}
		})
	}
}

// serveLines serves one call with the line and an empty one, and returns the address.
func serveLines(t *testing.T, line string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		if (&fasthttp.Request{}).Read(bufio.NewReader(nc)) == nil {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n1\r\n\n\r\n", len(line)+1, line)
		}
		_ = nc.Close()
	}()
	return ln.Addr().String()
}

// A silent watch stays open while its replacements send nothing, or nothing that can be decoded, because it may recover
// before them.
func TestSilentWatchAndReplacements(t *testing.T) {
	for name, answer := range map[string]func(*scriptedCall){
		"silent":    func(*scriptedCall) {},
		"a head":    func(c *scriptedCall) { c.begin() },
		"truncated": func(c *scriptedCall) { c.begin(`{"index":`, "") },
		"malformed": func(c *scriptedCall) { c.begin("malformed") },
		"reset":     func(c *scriptedCall) { c.reset() },
		"end":       func(c *scriptedCall) { c.Close() },
		"rejected": func(c *scriptedCall) {
			c.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedService(t)
			p := startWatcher(t, &Watcher{Address: s.Addr().String(), Timer: pushedSettings})
			first := s.call(t, 0)
			first.begin(listText(1, true, entryText("a", "active", 0)))
			receiveWithin(t, "the first list", p.updates)
			p.advance(watchtimer.PushedSilenceTimeout)
			for range 3 {
				answer(s.call(t, 1)) // a replacement is open and has sent its answer
				p.advance(pushedRetryInterval)
			}
			first.lines(listText(2, false, entryText("a", "leaving", 0)))
			for {
				if n := receiveWithin(t, "the drain on the watch that had been silent", p.updates); n.Kind != policy.ListFailed {
					if statesOf(n) != "a:draining" {
						t.Errorf("update %+v", n)
					}
					return
				}
			}
		})
	}
}
