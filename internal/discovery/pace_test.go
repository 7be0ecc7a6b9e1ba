package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/policy"
)

// testPacer is a Pace that the test controls.
type testPacer struct {
	due    chan struct{}
	failed chan bool
}

func (p testPacer) CallDue() <-chan struct{} { return p.due }
func (p testPacer) CallFailed()              { p.failed <- true }

// testWatcher is a watcher whose time passes only as the test says, so that no result depends on the machine's speed.
type testWatcher struct {
	ctx     context.Context
	stop    func() // and wait for its end
	updates chan core.ListUpdate
	hook    *logtest.Hook
	now     atomic.Int64
	wake    chan time.Time
}

// startWatcher runs a watcher until the test ends or stops it.
func startWatcher(t *testing.T, w *Watcher) *testWatcher {
	p := &testWatcher{updates: make(chan core.ListUpdate, 100), wake: make(chan time.Time)}
	w.Log, p.hook = logtest.NewNullLogger()
	w.OnUpdate = func(n core.ListUpdate) { p.updates <- n }
	w.elapsed = func() time.Duration { return time.Duration(p.now.Load()) }
	if w.openWatch == nil {
		w.openWatch = w.runCall
	}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { w.runWithTimer(ctx, p.wake, func(time.Duration) {}); close(ended) }()
	p.ctx, p.stop = ctx, func() { end(); <-ended }
	t.Cleanup(p.stop)
	return p
}

// advance lets time pass, once the watcher has handled what it received before.
func (p *testWatcher) advance(by time.Duration) {
	p.wake <- time.Time{}
	p.now.Add(int64(by))
	p.wake <- time.Time{}
}

// At a process's start the list is asked for when the pace says so, whatever the service does, and
// each call that came to nothing is told to it. Its clock stands, so no call is due for what counts as told.
func TestCallsWhenPacerAsks(t *testing.T) {
	s, requests := newListService(t, 40)
	p := testPacer{make(chan struct{}), make(chan bool, 100)}
	w := startWatcher(t, &Watcher{Address: s.Addr(), Pacer: p, Timer: watchtimer.Settings{Schedulers: 1000}})
	for i, f := range []discovery.Fault{{Refuse: true}, {Down: true}, {Refuse: true}} {
		s.Set(f)
		if len(requests) > 0 {
			t.Fatalf("%d: asked before it was due", i)
		}
		p.due <- struct{}{}
		if f.Down {
			w.advance(watchtimer.ResponseTimeout)
		}
		<-p.failed
		for len(requests) > 0 {
			<-requests
		}
	}
	if n := <-w.updates; n.Kind != policy.ListFailed {
		t.Errorf("%+v", n)
	}
	s.Set(discovery.Fault{})
	p.due <- struct{}{}
	if n := <-w.updates; n.Kind != policy.ListReceived || len(p.failed) > 0 {
		t.Errorf("%+v, %d more missed", n, len(p.failed))
	}
}

// A watch that begins with an empty line says that nothing came after the version held; an empty line
// after a list that could not be used does not.
func TestUnchangedListIsReported(t *testing.T) {
	for first, want := range map[string]bool{"": true, listText(3, false, sampleEntry): false} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		go func() {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if (&fasthttp.Request{}).Read(bufio.NewReader(nc)) == nil {
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n1\r\n\n\r\n", len(first)+1, first)
			}
			nc.Close()
		}()
		unchanged := make(chan bool, 10)
		w := &Watcher{Address: ln.Addr().String(), Version: 7, OnUnchanged: func() { unchanged <- true }, Timer: watchtimer.Settings{Pushed: true, DrainGrace: time.Minute}}
		updates := startWatcher(t, w).updates
		if want {
			<-unchanged
			continue
		}
		if n := <-updates; n.Kind != policy.ListFailed || len(unchanged) > 0 { // it ended after its two lines
			t.Errorf("%+v, %d", n, len(unchanged))
		}
	}
}
