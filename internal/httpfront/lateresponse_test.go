package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/connreuse"
	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// testRest leaves a late response of 40 ms time for a slow machine.
var testRest = connreuse.Settings{Rest: 250 * time.Millisecond, SuspectRest: 250 * time.Millisecond, SuspectTime: time.Minute}

// lateNode is a storage node that responds with the request's id, or with "stats" to a health check. It sends its first
// response a second time, in two pieces.
type lateNode struct {
	lateness time.Duration
	cut      int // bytes of the first piece
	first    sync.Once
}

// serve serves one connection.
func (s *lateNode) serve(nc net.Conn) {
	const work, betweenPieces = 60 * time.Millisecond, 5 * time.Millisecond
	br := bufio.NewReader(nc)
	for {
		var q fasthttp.Request
		if q.Read(br) != nil {
			return
		}
		id := string(q.Header.Peek("X-Request-Id"))
		if id == "" {
			id = "stats"
		}
		response, repeated := responseWithBody(id), false
		s.first.Do(func() {
			repeated = true
			_, _ = io.WriteString(nc, response)
			go func() {
				time.Sleep(s.lateness)
				_, _ = io.WriteString(nc, response[:s.cut])
				time.Sleep(betweenPieces)
				_, _ = io.WriteString(nc, response[s.cut:])
			}()
		})
		if !repeated {
			time.Sleep(work) // so that a late response arrives while the request is outstanding
			_, _ = io.WriteString(nc, response)
		}
	}
}

// expectOwnData fails if an attempt was served with anything but its own id.
func expectOwnData(t *testing.T, id string, r core.Result) {
	t.Helper()
	if r.Status != policy.OK {
		t.Errorf("attempt %s ended with status %d", id, r.Status)
		return
	}
	if body := string(r.Payload.(*nodeResponse).body); body != id {
		t.Errorf("attempt %s was served with the data of another request: %q", id, body)
	}
}

// sendWithID sends an attempt and returns its result.
func sendWithID(t *testing.T, p core.NodeClient, id string) core.Result {
	t.Helper()
	a, got := attemptWithID(t, id)
	p.Send(a)
	return <-got
}

// checkHealth requests the node's load and waits for the result.
func checkHealth(p core.NodeClient) {
	done := make(chan struct{})
	p.CheckHealth(func(core.Result, time.Duration) { close(done) })
	<-done
}

// Guards against a second response of a storage node that is taken for the response to the next request: the client got the
// data of another request.
func TestLateSecondResponseIsNotServed(t *testing.T) {
	const batch = 16
	for _, lateness := range []time.Duration{0, time.Millisecond, 4 * time.Millisecond, 16 * time.Millisecond, 40 * time.Millisecond} {
		for state, pause := range map[string]time.Duration{"busy": 0, "idle": testRest.Rest + 50*time.Millisecond} {
			for kind := range clientKinds(nil, nil) {
				t.Run(fmt.Sprintf("%v/%s/%s", lateness, state, kind), func(t *testing.T) {
					t.Parallel()
					size := len(responseWithBody("first"))
					for begin := 0; begin < size; begin += batch {
						var wg sync.WaitGroup
						for cut := begin; cut < min(begin+batch, size); cut++ {
							wg.Go(func() { checkLateResponse(t, &lateNode{lateness: lateness, cut: cut}, kind, pause) })
						}
						wg.Wait()
					}
				})
			}
		}
	}
}

// checkLateResponse sends an attempt, and after a pause two more, to a node that repeats its first response.
func checkLateResponse(t *testing.T, s *lateNode, kind string, pause time.Duration) {
	ln := startNode(t, s.serve)
	d := dialer()
	d.Reuse = testRest
	p := clientKinds(d, addressesOf(ln))[kind]()
	defer p.Close()
	expectOwnData(t, "first", sendWithID(t, p, "first"))
	time.Sleep(pause)
	var results []chan core.Result
	for _, id := range []string{"second", "third"} {
		a, got := attemptWithID(t, id)
		p.Send(a)
		results = append(results, got)
	}
	for i, id := range []string{"second", "third"} {
		expectOwnData(t, id, <-results[i])
	}
	waitFor(t, func() bool { return d.UnrequestedBytes() == 1 })
}

// Health checks share the connections of the attempts: neither gets the late response of the other.
func TestLateResponseAroundHealthCheck(t *testing.T) {
	for kind := range clientKinds(nil, nil) {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			d := dialer()
			d.Reuse = testRest
			p := clientKinds(d, addressesOf(startNode(t, (&lateNode{lateness: 4 * time.Millisecond, cut: 9}).serve)))[kind]()
			defer p.Close()
			checkHealth(p)
			expectOwnData(t, "first", sendWithID(t, p, "first"))
			waitFor(t, func() bool { return d.UnrequestedBytes() == 1 })
		})
	}
}

// A response with more bytes after it may be a late one, and those bytes the true one, if the connection has carried an earlier
// request: the attempt may have run and is not served.
func TestResponseFollowedByBytesIsAmbiguous(t *testing.T) {
	for kind := range clientKinds(nil, nil) {
		t.Run(kind, func(t *testing.T) {
			requests := 0
			n := newFakeNode(t, func(nc net.Conn) bool {
				requests++
				text := okResponse
				if requests == 2 {
					text += okResponse
				}
				_, err := io.WriteString(nc, text)
				return err == nil
			})
			d := dialer()
			p := clientKinds(d, addressesOf(n.ln))[kind]()
			defer p.Close()
			for i, want := range []policy.Status{policy.OK, policy.ConnectionReset, policy.OK} {
				if r := sendOne(t, p); r.Status != want {
					t.Errorf("attempt %d ended with status %d, want %d", i+1, r.Status, want)
				}
			}
			if n.conns.Load() != 2 || d.UnrequestedBytes() != 1 {
				t.Errorf("%d connections, unrequested bytes on %d, want 2 and 1", n.conns.Load(), d.UnrequestedBytes())
			}
		})
	}
}

// The rests end: a connection carries the next attempt after its rest, and one that waits for it before a new connect is due.
func TestConnectionIsReusedAfterRest(t *testing.T) {
	for name, x := range map[string]struct {
		rest, pause, freeConnWait time.Duration
		wantConns                 int64
	}{
		"after the rest":                  {testRest.Rest, testRest.Rest + 50*time.Millisecond, 0, 1},
		"during a short rest":             {maxRestWait, 0, 0, 1},
		"during a long rest":              {testRest.Rest, 0, 0, 2},
		"during a long rest, with a wait": {testRest.Rest, 0, time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newFakeNode(t, respondWith(okResponse))
			d := dialer()
			d.Reuse, d.FreeConnWait = connreuse.Settings{Rest: x.rest}, x.freeConnWait
			p := d.Connect("n", addressesOf(n.ln))
			defer p.Close()
			for range 2 {
				if r := sendOne(t, p); r.Status != policy.OK {
					t.Fatalf("attempt ended with status %d", r.Status)
				}
				time.Sleep(x.pause)
			}
			if n.conns.Load() != x.wantConns {
				t.Errorf("%d connections for two attempts, want %d", n.conns.Load(), x.wantConns)
			}
		})
	}
}

// A connection that rests gives its descriptor to another node at the connection limit.
func TestRestingConnectionIsEvicted(t *testing.T) {
	d := dialer()
	d.Reuse, d.MaxConns = testRest, 1
	for range 3 {
		p := d.Connect("n", addressesOf(newFakeNode(t, respondWith(okResponse)).ln))
		t.Cleanup(p.Close)
		if r := sendOne(t, p); r.Status != policy.OK {
			t.Errorf("attempt ended with status %d", r.Status)
		}
		waitFor(t, func() bool { // the node's actor has taken the connection back
			d.idle.mu.Lock()
			defer d.idle.mu.Unlock()
			return d.idle.list.Len() == 1
		})
	}
}

// Unrequested bytes are logged with the node and the number of its connections, once in unrequestedLogInterval.
func TestUnrequestedBytesAreLogged(t *testing.T) {
	log, logged := logtest.NewNullLogger()
	d := dialer()
	d.Reuse, d.Log = testRest, log
	n := newFakeNode(t, respondWith(okResponse+okResponse))
	p := d.Connect("st-1", addressesOf(n.ln))
	defer p.Close()
	for range 3 {
		sendOne(t, p)
	}
	waitFor(t, func() bool { return d.UnrequestedBytes() == 3 })
	entries := logged.AllEntries()
	if len(entries) != 1 || entries[0].Level != logrus.WarnLevel || entries[0].Data["code"] != "node-unrequested-bytes" || !strings.Contains(fmt.Sprint(entries[0].Data["error"]), "st-1 sent bytes that no request asked for on 1 conn") {
		t.Errorf("logged %+v, want one warning with the node and the number", entries)
	}
}
