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

// No update is lost or reported twice when a watch ends, falls silent or receives a malformed line.
func TestWatchSurvivesFaults(t *testing.T) {
	service, requests := newListService(t)
	watcher := startWatcher(t, &Watcher{Address: service.Addr(), Version: 7, Timer: watchtimer.Settings{Pushed: true}})
	const retryInterval = 100 * time.Millisecond // interval after which an agent that closed the connection is called again
	full, change, failed := policy.ListReceived, policy.ListChanged, policy.ListFailed
	for i, tc := range []struct {
		do   func()
		want policy.EventKind
	}{
		{func() {}, full}, {func() { service.Put(sampleNode) }, change},
		{func() { service.ResetConns() }, failed}, {func() { watcher.advance(retryInterval); service.Put(sampleNode) }, change},
		{func() {
			if err := service.SetFault(discovery.Fault{Silent: true, AnswerNewCalls: true}); err != nil {
				t.Fatal(err)
			}
			watcher.advance(watchtimer.PushedSilenceTimeout)
		}, change}, // the first line of the watch that replaces the silent one
		{func() { service.InjectLine("malformed"); service.Put(sampleNode) }, failed}, {func() { watcher.advance(retryInterval) }, change}, // after a malformed line nothing more of its connection is applied
	} {
		tc.do()
		if update := <-watcher.updates; update.Kind != tc.want {
			t.Fatalf("step %d: update %+v, want kind %v", i, update, tc.want)
		}
	}
	for _, want := range []string{"7", "42", "43", "43"} {
		if uri := <-requests; uri != watchPath+"?watch=1&after="+want {
			t.Errorf("requested %s, want after=%s", uri, want)
		}
	}
	watcher.stop()
	codes := loggedCodes(t, watcher.hook)
	if !slices.Contains(codes, "list-malformed") || !slices.Contains(codes, "list-call") {
		t.Errorf("logged the codes %v, want list-malformed and list-call among them", codes)
	}
}

// After an address change the old watch is valid until the new one is answered. An address that does not answer has no
// effect. A list older than the current one reverts no change.
func TestOldWatchIsValidUntilNewAddressAnswers(t *testing.T) {
	oldService, _ := newListService(t)
	newService, requests := newListService(t)
	watcher := &Watcher{Address: oldService.Addr(), Timer: watchtimer.Settings{Pushed: true}}
	running := startWatcher(t, watcher)
	ctx, updates := running.ctx, running.updates
	<-updates
	if !watcher.SetAddress(ctx, "127.0.0.1:1") || !watcher.SetAddress(ctx, newService.Addr()) {
		t.Error("the address change was not accepted")
	}
	<-updates // the new address has answered
	newService.InjectLine(listText(40, false, sampleEntry))
	newService.Put(sampleNode)
	if update := <-updates; update.Kind != policy.ListChanged || update.Nodes[0].State != policy.NodeUp {
		t.Errorf("update %+v, want the change of the new watch", update)
	}
	if uri := <-requests; uri != watchPath+"?watch=1&after=41" {
		t.Errorf("requested %s, want after=41", uri)
	}
	running.stop()
	if watcher.Version != 42 || len(watcher.calls) != 1 || len(updates) != 0 {
		t.Errorf("version %d, %d calls open, %d more updates, want version 42, 1 call and no update", watcher.Version, len(watcher.calls), len(updates))
	}
	if watcher.SetAddress(ctx, oldService.Addr()) {
		t.Error("a stopped watcher accepted an address change")
	}
}

// A rejected watch is opened again. Meanwhile the current list stays, and the failure of the watch is reported once. The
// list that arrives spans several lines. An older list after it on the same watch reverts no change.
func TestRejectedWatchIsReopened(t *testing.T) {
	service, err := discovery.New(discovery.Options{Index: 8, IndentWatch: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	service.Put(sampleNode)
	if err := service.RejectCalls(); err != nil {
		t.Fatal(err)
	}
	watcher := startWatcher(t, &Watcher{Address: service.Addr(), Timer: watchtimer.Settings{Pushed: true}})
	updates := watcher.updates
	if update := <-updates; update.Kind != policy.ListFailed {
		t.Errorf("first update %+v, want a failure of the list", update)
	}
	if codes := loggedCodes(t, watcher.hook); !slices.Equal(codes, []string{"list-refused"}) {
		t.Errorf("logged the codes %v, want list-refused once", codes)
	}
	if err := service.ClearFaults(); err != nil {
		t.Fatal(err)
	}
	watcher.advance(30 * time.Second) // longer than the backoff after a rejected call
	if update := <-updates; update.Kind != policy.ListReceived || len(update.Nodes) != 1 {
		t.Errorf("update %+v, want the full list with one node", update)
	}
	service.InjectLine(listText(8, true))
	draining := sampleNode
	draining.Status = discovery.Leaving
	service.Put(draining)
	if update := <-updates; update.Kind != policy.ListChanged || update.Nodes[0].State != policy.NodeDraining {
		t.Errorf("update %+v, want the change that follows the older list", update)
	}
}

// A watch that begins with an empty line reports that nothing has changed since the current version. An empty line after a
// list, even one that was not applied, does not report this.
func TestUnchangedListIsReported(t *testing.T) {
	for name, tc := range map[string]struct {
		firstLine string
		unchanged bool
	}{
		"empty line first":        {"", true},
		"empty line after a list": {listText(3, false, sampleEntry), false},
	} {
		t.Run(name, func(t *testing.T) {
			unchanged := make(chan bool, 10)
			watcher := &Watcher{Address: serveLines(t, tc.firstLine), Version: 7, OnUnchanged: func() { unchanged <- true },
				Timer: watchtimer.Settings{Pushed: true, DrainGrace: time.Minute}}
			updates := startWatcher(t, watcher).updates
			if tc.unchanged {
				<-unchanged
				return
			}
			if update := <-updates; update.Kind != policy.ListFailed || len(unchanged) > 0 { // the watch has ended after its two lines
				t.Errorf("update %+v, %d reports of an unchanged list, want a failure and none", update, len(unchanged))
			}
		})
	}
}

// serveLines answers one call with the line and an empty line, and returns the address of the service.
func serveLines(t *testing.T, line string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if (&fasthttp.Request{}).Read(bufio.NewReader(conn)) == nil {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n1\r\n\n\r\n", len(line)+1, line)
		}
		_ = conn.Close()
	}()
	return ln.Addr().String()
}

// A silent watch stays open while its replacements receive nothing or nothing that can be decoded, because it may recover
// before them.
func TestSilentWatchAndReplacements(t *testing.T) {
	for name, answer := range map[string]func(*scriptedCall){
		"silent":        func(*scriptedCall) {},
		"only a header": func(call *scriptedCall) { call.respond() },
		"truncated":     func(call *scriptedCall) { call.respond(`{"index":`, "") },
		"malformed":     func(call *scriptedCall) { call.respond("malformed") },
		"reset":         func(call *scriptedCall) { call.reset() },
		"end":           func(call *scriptedCall) { call.Close() },
		"rejected": func(call *scriptedCall) {
			call.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			service := newScriptedService(t)
			watcher := startWatcher(t, &Watcher{Address: service.Addr().String(), Timer: pushedSettings})
			first := service.call(t, 0)
			first.respond(listText(1, true, entryText("a", "active", 0)))
			receiveWithin(t, "the first list", watcher.updates)
			watcher.advance(watchtimer.PushedSilenceTimeout)
			for range 3 {
				answer(service.call(t, 1)) // a replacement is open and has received its answer
				watcher.advance(pushedRetryInterval)
			}
			first.lines(listText(2, false, entryText("a", "leaving", 0)))
			for {
				if update := receiveWithin(t, "the drain on the watch that had been silent", watcher.updates); update.Kind != policy.ListFailed {
					if statesOf(update) != "a:draining" {
						t.Errorf("update %+v, want the drain", update)
					}
					return
				}
			}
		})
	}
}
