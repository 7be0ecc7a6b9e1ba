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

// listText returns a list with the given version and entries.
func listText(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

var sampleNode = discovery.Entry{Name: "s-1", Address: "127.0.0.1:8443", Group: 3, Status: discovery.Active, Weight: 2}

// newListService starts a fake list service with one node at version 41. The channel receives the URIs of the requests.
func newListService(t *testing.T) (service *discovery.Service, requests chan string) {
	requests = make(chan string, 100)
	service, err := discovery.New(discovery.Options{Index: 40, Beat: time.Hour, OnCall: func(_, uri string) { requests <- uri }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	service.Put(sampleNode)
	return service, requests
}

// loggedCodes returns the codes of the log lines at level warn and above, and checks that each has a code and advice.
func loggedCodes(t *testing.T, hook *logtest.Hook) (codes []string) {
	t.Helper()
	for _, e := range hook.AllEntries() {
		if e.Level > logrus.WarnLevel {
			continue
		}
		code, _ := e.Data["code"].(string)
		if advice, _ := e.Data["advice"].(string); code == "" || advice == "" {
			t.Errorf("%q %v has no code or advice", e.Message, e.Data)
		}
		codes = append(codes, code)
	}
	return codes
}

// testWatcher is a running watcher whose time is advanced only by the test, so that no result depends on the speed of the
// machine.
type testWatcher struct {
	ctx     context.Context
	stop    func() // stops the watcher and waits for its end
	updates chan core.ListUpdate
	hook    *logtest.Hook
	now     atomic.Int64
	wake    chan time.Time
}

// startWatcher runs a watcher until the test stops it or ends.
func startWatcher(t *testing.T, w *Watcher) *testWatcher {
	watcher := &testWatcher{updates: make(chan core.ListUpdate, 100), wake: make(chan time.Time)}
	w.Log, watcher.hook = logtest.NewNullLogger()
	w.OnUpdate = func(n core.ListUpdate) { watcher.updates <- n }
	w.elapsed = func() time.Duration { return time.Duration(watcher.now.Load()) }
	if w.openWatch == nil {
		w.openWatch = w.runCall
	}
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { w.runWithTimer(ctx, watcher.wake, func(time.Duration) {}); close(ended) }()
	watcher.ctx, watcher.stop = ctx, func() { end(); <-ended }
	t.Cleanup(watcher.stop)
	return watcher
}

// advance advances the time once the watcher has handled all earlier messages.
func (w *testWatcher) advance(by time.Duration) {
	w.wake <- time.Time{}
	w.now.Add(int64(by))
	w.wake <- time.Time{}
}

// testTimeout is how long a test waits for an expected event before it fails.
const testTimeout = 20 * time.Second

const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// scriptedService is a fake list service whose responses are written by the test.
type scriptedService struct {
	net.Listener
	calls chan *scriptedCall
}

// scriptedCall is a call to a scriptedService.
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
	service := &scriptedService{ln, make(chan *scriptedCall, 100)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var request fasthttp.Request
			if request.Read(bufio.NewReader(conn)) != nil {
				conn.Close()
				continue
			}
			service.calls <- &scriptedCall{conn, string(request.RequestURI())}
		}
	}()
	return service
}

// receiveWithin receives an expected value within testTimeout.
func receiveWithin[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("%s: nothing received within the timeout", what)
		panic("not reached")
	}
}

// call returns the next call and checks that it requests the changes after the version.
func (s *scriptedService) call(t *testing.T, after int) *scriptedCall {
	t.Helper()
	call := receiveWithin(t, "a call", s.calls)
	t.Cleanup(func() { call.Close() })
	if want := fmt.Sprint(watchPath, "?watch=1&after=", after); call.uri != want {
		t.Errorf("requested %s, want %s", call.uri, want)
	}
	return call
}

func (c *scriptedCall) write(text string) { _, _ = c.Write([]byte(text)) }

// respond sends the head of the response and the lines.
func (c *scriptedCall) respond(lines ...string) {
	c.write(responseHead)
	c.lines(lines...)
}

func (c *scriptedCall) lines(lines ...string) {
	for _, l := range lines {
		c.write(chunk(l + "\n"))
	}
}

// reset closes the connection with a TCP reset.
func (c *scriptedCall) reset() {
	if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		panic(err)
	}
	c.Close()
}

// chunk returns a text as one chunk of a chunked response.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// entryText returns an entry of a list.
func entryText(name, status string, since int) string {
	return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q,"weight":1,"since_ms":%d}`, name, status, since)
}

// statesOf returns the sorted nodes of an update with their states.
func statesOf(update core.ListUpdate) string {
	var states []string
	for _, node := range update.Nodes {
		states = append(states, fmt.Sprintf("%s:%v", node.ID, map[policy.NodeState]string{policy.NodeUp: "up", policy.NodeDraining: "draining",
			policy.NodeRemoved: "removed"}[node.State]))
	}
	slices.Sort(states)
	return strings.Join(states, " ")
}

// indented returns a JSON text with line breaks and indentation.
func indented(text string) string {
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
		panic(err)
	}
	return b.String()
}

var pushedSettings = watchtimer.Settings{Pushed: true, DrainGrace: time.Second}

const pushedRetryInterval = 100 * time.Millisecond // RetryInterval with pushedSettings
