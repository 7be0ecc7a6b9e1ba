package httpfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// A simulation of the core and the node actors under virtual time, on connections in memory, with all the faults at once that a
// zone shows when it loses its network. Each accepted request gets exactly one answer before its client's deadline: a complete
// response of a node, a rejection or a failure. Afterwards no table, queue or counter holds anything of it.

// simulatedNode is a node in memory. Its behaviour is drawn at random for each dial and each request.
type simulatedNode struct {
	sim        *simulation
	silentFrom time.Duration // simulated time from which it sends nothing for silenceDuration
}

type simulation struct {
	t           *rapid.T
	mu          sync.Mutex
	rng         *rand.Rand
	start       time.Time
	idleSockets [2]int // a socket pair with nothing to read
	nodes       map[address.Addr]*simulatedNode
	faults      float64  // scale of the probabilities of the faults
	endedAt     sync.Map // by request id: time of its final answer, or of its cancellation
}

const silenceDuration = 3 * time.Second

func (s *simulation) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

func (s *simulation) randomInt(n int) int { return int(s.random() * float64(n)) }

func (s *simulation) randomDuration(most time.Duration) time.Duration {
	return time.Duration(s.random()*float64(most)) + 1
}

func (n *simulatedNode) silent() bool {
	at := time.Since(n.sim.start)
	return at >= n.silentFrom && at < n.silentFrom+silenceDuration
}

// memConn is one end of a connection in memory. A check of its socket finds nothing to read.
type memConn struct {
	net.Conn
	sim *simulation
}

func (c memConn) SyscallConn() (syscall.RawConn, error) {
	return rawIdleSocket{c.sim.idleSockets[0]}, nil
}
func (q rawIdleSocket) Control(f func(uintptr)) error { f(uintptr(q.fd)); return nil }
func (rawIdleSocket) Read(func(uintptr) bool) error   { return errors.ErrUnsupported }
func (rawIdleSocket) Write(func(uintptr) bool) error  { return errors.ErrUnsupported }

type rawIdleSocket struct{ fd int }

// dial succeeds, fails, or hangs until its timeout.
func (s *simulation) dial(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
	n := s.nodes[a]
	draw, wait := s.random(), s.randomDuration(20*time.Millisecond)
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	if n.silent() || draw < s.faults/4 { // never succeeds
		<-ctx.Done()
		return nil, address.ReasonTimedOut, ctx.Err()
	}
	if s.randomInt(4) == 0 { // succeeds late
		wait = s.randomDuration(240 * time.Millisecond)
	}
	time.Sleep(wait)
	if ctx.Err() != nil || draw < s.faults/2 {
		return nil, address.ReasonRefused, errors.New("refused")
	}
	ours, theirs := net.Pipe()
	go n.serve(theirs)
	return memConn{ours, s}, 0, nil
}

// serve reads requests and handles each as drawn at random.
func (n *simulatedNode) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		var q fasthttp.Request
		if q.Header.Read(br) != nil {
			return
		}
		id := string(q.Header.Peek("X-Request-Id"))
		// Fails for an attempt that was still waiting for a connection or in a mailbox when its request ended.
		if at, ok := n.sim.endedAt.Load(id); ok && at.(time.Time).Before(time.Now()) {
			n.sim.t.Errorf("an attempt of request %s was sent %v after the request had ended", id, time.Since(at.(time.Time)))
		}
		body := "of " + id
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		time.Sleep(n.sim.randomDuration(120 * time.Millisecond))
		draw := n.sim.random() / n.sim.faults // the fewer faults, the more draws are above all the limits below
		switch {
		case n.silent() || draw < 0.1: // the response is lost and the connection stays open
			_, _ = io.Copy(io.Discard, br)
			return
		case draw < 0.2: // the response is truncated and the connection closed
			_, _ = io.WriteString(nc, response[:n.sim.randomInt(len(response))])
			return
		case draw < 0.3: // the response stops halfway and the connection stays open
			_, _ = io.WriteString(nc, response[:n.sim.randomInt(len(response))])
			_, _ = io.Copy(io.Discard, br)
			return
		case draw < 0.4:
			response = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
		case draw < 0.6:
			response = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		case draw < 0.7: // responds and closes without announcing it
			_, _ = io.WriteString(nc, response)
			return
		}
		if _, err := io.WriteString(nc, response); err != nil {
			return
		}
	}
}

// sometimesFullClient is a node client that sometimes rejects an attempt, as if its mailbox were full.
type sometimesFullClient struct {
	core.NodeClient
	sim *simulation
}

func (c sometimesFullClient) Send(a *core.Attempt) bool {
	return c.sim.random() > c.sim.faults/10 && c.NodeClient.Send(a)
}

func simulationSettings(s *simulation) policy.Settings {
	return policy.Settings{Schedulers: 3, MeanUnits: 2, MaxUnits: 6, SlowStartUnits: 39, MaxAttempts: 1 + s.randomInt(4), MaxRetryAfter: 1000,
		SendsRetryAfter: true, MayCancel: s.randomInt(2) == 0, MayHedge: s.randomInt(2) == 0, DrainGrace: 250, ListStalenessBound: 10000,
		SlowStartShare: 0.24, SlowStartDuration: 17000, OverloadMultiple: 3, OverloadWindow: 3000, Shards: 5,
		Classes: []policy.Class{{Name: "safe", LatencyObjective: 200, Deadline: 1500, PriorityWeight: 3, LatePriorityWeight: 0.1},
			{Name: "keyed", LatencyObjective: 300, Deadline: 2000, PriorityWeight: 2, Effect: policy.IdempotentByKey, DedupScope: policy.DedupShard, DedupWindow: 2500},
			{Name: "once", LatencyObjective: 300, Deadline: 4000, PriorityWeight: 2, Effect: policy.NonIdempotent}},
		Plans: []policy.Plan{{Name: "open", Rate: 60, ReservedRate: 60, Weight: 1, Price: 1},
			{Name: "capped", Rate: 20, ReservedRate: 10, Weight: 1, Price: 1, RateLimit: 40, LimitBurst: 60}}}
}

// outcome is a request with its deadline, its answers, and whether the client cancelled it.
type outcome struct {
	request   *core.Request
	deadline  time.Time
	answered  chan core.Answer
	cancelled bool
}

func TestEachRequestGetsExactlyOneAnswer(t *testing.T) {
	var sockets [2]int
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	sockets = pair
	defer func() { _ = syscall.Close(pair[0]) }()
	defer func() { _ = syscall.Close(pair[1]) }()
	kinds := map[core.AnswerKind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		faults := rapid.Float64Range(0.2, 1).Draw(rt, "faults")
		synctest.Test(t, func(t *testing.T) {
			s := &simulation{t: rt, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), idleSockets: sockets, faults: faults,
				nodes: map[address.Addr]*simulatedNode{}}
			s.run(kinds)
		})
	})
	for _, k := range []core.AnswerKind{core.Served, core.Rejected, core.Failed} {
		if kinds[k] == 0 {
			t.Errorf("no request got answer kind %v, so the simulation does not cover it", k)
		}
	}
}

func (s *simulation) run(kinds map[core.AnswerKind]int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &Dialer{ConnectTimeout: 250 * time.Millisecond, ConnIdle: 15 * time.Second, MaxConns: int64(4 + s.randomInt(20)),
		FreeConnWait: s.randomDuration(30 * time.Millisecond), dial: s.dial}
	settings := simulationSettings(s)
	scheduler, err := core.New(core.Options{Settings: settings, Seed: int64(s.randomInt(1 << 30)), Log: log,
		NewNodeClient: func(name string, to []address.Addr) core.NodeClient {
			return sometimesFullClient{d.Connect(name, to), s}
		}})
	if err != nil {
		s.t.Fatal(err)
	}
	var list []core.Node
	for i := range 6 {
		a, _ := address.Parse(fmt.Sprintf("10.0.0.%d:1", i+1))
		n := core.Node{Node: policy.Node{ID: fmt.Sprint("n", i), Shard: i % settings.Shards, Weight: 1}, Addresses: []address.Addr{a}}
		list = append(list, n)
		s.nodes[a] = &simulatedNode{sim: s, silentFrom: s.randomDuration(8 * time.Second)}
	}
	scheduler.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: list})
	var outcomes []*outcome
	for i := range 300 {
		time.Sleep(s.randomDuration(30 * time.Millisecond))
		switch s.randomInt(25) {
		case 0: // cases 0 to 2 change, replace or fail to fetch the endpoint list
			n := list[s.randomInt(len(list))]
			n.State = policy.NodeState(s.randomInt(3))
			scheduler.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: []core.Node{n}})
		case 1:
			scheduler.UpdateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: list[s.randomInt(3):]})
		case 2:
			scheduler.UpdateList(core.ListUpdate{Kind: policy.ListFailed})
		}
		c := settings.Classes[s.randomInt(len(settings.Classes))]
		id := fmt.Sprintf("%016x", i)
		e := &outcome{answered: make(chan core.Answer, 2)}
		e.request = &core.Request{Request: policy.Request{ID: id, Class: c.Name, Plan: settings.Plans[s.randomInt(2)].Name, Key: id,
			Volume: fmt.Sprint("v", s.randomInt(5)), Units: float64(1 + s.randomInt(6)), Shard: s.randomInt(settings.Shards+1) - 1, Schedulers: 1},
			ReceivedAt: time.Now(), Timeout: s.randomDuration(time.Duration(c.Deadline) * time.Millisecond),
			Payload: &nodeRequest{head: []byte("GET /" + c.Name + " HTTP/1.1\r\nX-Request-Id: " + id)},
			Answer: func(a core.Answer) {
				if late := time.Since(e.deadline); late > 0 {
					s.t.Errorf("request %s was answered %v after its deadline", id, late)
				}
				s.endedAt.Store(id, time.Now())
				e.answered <- a
			}}
		e.deadline = e.request.ReceivedAt.Add(e.request.Timeout)
		outcomes = append(outcomes, e)
		scheduler.Submit(e.request)
		if old := outcomes[s.randomInt(len(outcomes))]; s.randomInt(12) == 0 && len(old.answered) == 0 && !old.cancelled {
			old.cancelled = true
			s.endedAt.LoadOrStore(old.request.ID, time.Now())
			scheduler.Cancel(old.request)
		}
	}
	time.Sleep(10 * time.Second) // past the deadlines of all requests and attempts
	for _, e := range outcomes {
		switch got := len(e.answered); {
		case got > 1 || got == 0 && !e.cancelled:
			s.t.Errorf("request %s got %d answers, want one, or at most one if it was cancelled", e.request.ID, got)
		case got == 1:
			a := <-e.answered
			kinds[a.Kind]++
			if a.Kind == core.Served {
				if body := string(a.Payload.(*nodeResponse).body); body != "of "+e.request.ID {
					s.t.Errorf("request %s was served with the response body %q", e.request.ID, body)
				}
			}
		}
	}
	if left := scheduler.TableSizes(); left != (core.TableSizes{}) {
		s.t.Errorf("tables are not empty at the end: %+v", left)
	}
	scheduler.UpdateList(core.ListUpdate{Kind: policy.ListReceived})
	time.Sleep(time.Minute) // all nodes are removed and close their connections
	if open := d.open.Load(); open != 0 || d.idle.list.Len() != 0 {
		s.t.Errorf("after all nodes were removed, %d connections are counted as open, %d as idle", open, d.idle.list.Len())
	}
	scheduler.Stop()
}
