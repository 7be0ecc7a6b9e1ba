package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/internal/testkit/rapidtest"
	"wheatsaddle/policy"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const sampleEntry = `{"name":"s-1","address":"127.0.0.1:8443","zone":"a","type":"m2","group":3,"status":"leaving","weight":2.0,"since_ms":1700000000000}`

func listText(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

var sampleNode = discovery.Entry{Name: "s-1", Address: "127.0.0.1:8443", Group: 3, Status: discovery.Active, Weight: 2}

// newListService starts a list's service with one node listed at version 41, and returns the URIs requested of it.
func newListService(t *testing.T) (s *discovery.Service, requests chan string) {
	requests = make(chan string, 100)
	s, err := discovery.New(discovery.Options{Index: 40, Beat: time.Hour, Heard: func(_, uri string) { requests <- uri }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Put(sampleNode)
	return s, requests
}

// loggedCodes returns the codes of the log lines at warn and above, and checks that each has a code and an advice.
func loggedCodes(t *testing.T, hook *logtest.Hook) (all []string) {
	t.Helper()
	for _, e := range hook.AllEntries() {
		if e.Level > logrus.WarnLevel {
			continue
		}
		code, _ := e.Data["code"].(string)
		if advice, _ := e.Data["advice"].(string); code == "" || advice == "" {
			t.Errorf("%q %v has no code or no advice", e.Message, e.Data)
		}
		all = append(all, code)
	}
	return all
}

// testWatcher is a watcher whose time advances only by the test, so that no result depends on the machine's speed.
type testWatcher struct {
	ctx     context.Context
	stop    func() // and waits for its end
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

// testTimeout is how long a test waits for an expected event before it fails.
const testTimeout = 20 * time.Second

const answerHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// scriptedService is a list's service that writes the test's bytes.
type scriptedService struct {
	net.Listener
	calls chan *scriptedCall
}

// scriptedCall is one call of a scriptedService.
type scriptedCall struct {
	net.Conn
	uri string
}

func newScriptedService(t *testing.T) *scriptedService {
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

// call returns the next call and checks that it requests the changes after the version.
func (s *scriptedService) call(t *testing.T, after int) *scriptedCall {
	t.Helper()
	c := receiveWithin(t, "a call", s.calls)
	t.Cleanup(func() { c.Close() })
	if want := fmt.Sprint(watchPath, "?watch=1&after=", after); c.uri != want {
		t.Errorf("requested %s, want %s", c.uri, want)
	}
	return c
}

func (c *scriptedCall) write(text string) { _, _ = c.Write([]byte(text)) }

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
	if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		panic(err)
	}
	c.Close()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// entryText is an entry of a list.
func entryText(name, status string, since int) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q,"weight":1,"since_ms":%d}`, name, status, since)
}

// statesOf lists the nodes of an update with their states.
func statesOf(n core.ListUpdate) string {
	var all []string
	for _, x := range n.Nodes {
		all = append(all, fmt.Sprintf("%s:%v", x.ID, map[policy.NodeState]string{policy.NodeUp: "up", policy.NodeDraining: "draining",
			policy.NodeRemoved: "removed"}[x.State]))
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

func indented(text string) string {
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
		panic(err)
	}
	return b.String()
}

var pushedSettings = watchtimer.Settings{Pushed: true, DrainGrace: time.Second}

const pushedRetryInterval = 100 * time.Millisecond // of pushedSettings
