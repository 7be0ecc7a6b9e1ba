package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	fakenode "wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

const ms = time.Millisecond

// addressHarness is a fake node on a Unix socket, ::1 and 127.0.0.1, and a node client for it.
type addressHarness struct {
	t            *testing.T
	node         *fakenode.Node
	addresses    []address.Addr // in order of preference
	dialer       *Dialer
	client       core.NodeClient
	hook         *logtest.Hook
	requestCount atomic.Int64
	gate         atomic.Pointer[chan struct{}] // not nil: the node responds only once the channel is closed
}

// withoutSuspicion returns settings with which no stall of the machine makes an address suspect.
func withoutSuspicion() address.Settings {
	s := withShortTimes()
	s.MinSuspectAfter, s.MaxSuspectAfter, s.CrossCheckAfter = time.Minute, 2*time.Minute, time.Minute
	s.ConnectDelay, s.MinConnectDelay, s.MaxConnectDelay = 2*time.Second, 2*time.Second, 2*time.Second
	return s
}

// withShortTimes returns settings for tests that wait for a suspicion or a backoff.
func withShortTimes() address.Settings {
	s := address.Defaults()
	s.MinSuspectAfter, s.MaxSuspectAfter = 150*ms, 600*ms
	s.Backoff, s.MaxBackoff, s.MinReturnDelay, s.TrialInterval, s.DownTrialInterval = 50*ms, 200*ms, 100*ms, 10*ms, 20*ms
	s.TrialPatience, s.WrongNodeBackoff = time.Minute, 100*ms
	return s
}

func newAddressHarness(t *testing.T, set address.Settings, serviceTime ...time.Duration) *addressHarness {
	t.Helper()
	r := &addressHarness{t: t}
	r.node = fakenode.New(fakenode.Options{Name: "n", Shard: 0, Workers: 64, IdentityHeader: "X-Node",
		ServiceTime: func(*fasthttp.Request) (took time.Duration) {
			if g := r.gate.Load(); g != nil {
				<-*g // until the test releases it
			}
			if len(serviceTime) > 0 {
				took = serviceTime[0]
			}
			return took
		}})
	t.Cleanup(r.node.Close)
	for _, text := range []string{"unix:" + filepath.Join(t.TempDir(), "s"), "[::1]:0", "127.0.0.1:0"} {
		a, err := r.node.Listen(text)
		if err != nil && strings.HasPrefix(text, "[") {
			t.Skip("no IPv6 on this machine")
		} else if err != nil {
			t.Fatal(err)
		}
		r.addresses = append(r.addresses, a)
	}
	r.dialer = dialer()
	r.dialer.ConnectTimeout = time.Minute // so that no result depends on the machine's speed
	r.dialer.Idempotent = map[string]bool{"balance-read": true}
	var log *logrus.Logger
	log, r.hook = logtest.NewNullLogger()
	r.dialer.Log = log
	r.dialer.Addresses = &AddressConfig{Seed: 1}
	r.dialer.Addresses.Set(AddressSettings{Selector: set})
	r.client = r.dialer.Connect("n", r.addresses)
	t.Cleanup(r.client.Close)
	return r
}

func (r *addressHarness) set(i int, f fakenode.Fault) {
	r.t.Helper()
	if err := r.node.SetFault(r.addresses[i], f); err != nil {
		r.t.Fatal(err)
	}
}

const readRequestFormat = "GET /balance-read/x?shard=0 HTTP/1.1\r\nHost: o\r\nX-Request-Id: %s\r\nTier: basic\r\nCookie: extent=7f3a9c21e0b4d655\r\n" +
	"X-Deadline-Ms: 60000\r\nIO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\n"
const writeRequestFormat = "PUT /new-record/x?shard=0 HTTP/1.1\r\nHost: o\r\nX-Request-Id: %[1]s\r\nIdempotency-Key: k%[1]s\r\nTier: basic\r\n" +
	"Cookie: extent=7f3a9c21e0b4d655\r\nX-Deadline-Ms: 60000\r\nContent-Length: 1\r\nIO-Info: volume=00000003b4d60021,units=2,shard=0,hosts=1\r\n\r\nx"

// send starts an attempt of a new request and returns its id and the channel of its result.
func (r *addressHarness) send(text string, until time.Duration) (string, chan core.Result) {
	r.t.Helper()
	id := fmt.Sprint("q", r.requestCount.Add(1))
	var m fasthttp.Request
	if err := m.Read(bufio.NewReader(strings.NewReader(fmt.Sprintf(text, id)))); err != nil {
		r.t.Fatal(err)
	}
	q, err := decode(&m, &testBounds)
	if err != nil {
		r.t.Fatal(err)
	}
	got := make(chan core.Result, 4)
	a := core.NewAttempt(q, time.Now().Add(until), func(x core.Result) { got <- x })
	if !r.client.Send(a) {
		r.t.Fatal("attempt was not accepted")
	}
	return id, got
}

// expectServed sends a request that must be served, and returns the address that it used.
func (r *addressHarness) expectServed(text string) address.Addr {
	r.t.Helper()
	id, got := r.send(text, time.Minute)
	if x := <-got; x.Status != policy.OK || string(x.Payload.(*nodeResponse).body) != id {
		r.t.Fatalf("request %s: attempt ended as %+v, want it served with the id as body", id, x)
	}
	all := r.node.Arrivals(id)
	if len(all) != 1 || r.node.Executions(id) != 1 {
		r.t.Fatalf("request %s: arrivals %+v, want one arrival and one execution", id, all)
	}
	return all[0].Addr
}

// readUntil sends reads until the address of one satisfies a condition.
func (r *addressHarness) readUntil(what string, ok func(address.Addr) bool) {
	r.t.Helper()
	for range 20000 {
		id, got := r.send(readRequestFormat, 400*ms) // some hang on a faulty address
		x := <-got
		if x.Status != policy.OK {
			time.Sleep(ms)
			continue
		}
		if ok(r.node.Arrivals(id)[0].Addr) {
			return
		}
		time.Sleep(ms)
	}
	r.t.Fatal(what, ": condition was not met in time")
}

// Requests use the preferred address over one reused connection and are executed once each. If the address refuses
// connections the next one is used, and the preferred one again after it has recovered.
func TestAddressesAreUsedInOrderOfPreference(t *testing.T) {
	r := newAddressHarness(t, withoutSuspicion())
	for range 20 {
		if by := r.expectServed(writeRequestFormat); by != r.addresses[0] {
			t.Fatalf("request used address %v, want the preferred one", by)
		}
	}
	if c := r.node.Counts(); c.Conns != 1 || c.Executions != 20 {
		t.Errorf("node counts %+v, want 20 executions over one connection", c)
	}
	for i, f := range []fakenode.Fault{fakenode.Refused, fakenode.StaleFile, fakenode.NotASocket} {
		r.set(0, f)
		if by := r.expectServed(writeRequestFormat); by == r.addresses[0] {
			t.Errorf("preferred address with fault %v: request used address %v", f, by)
		}
		r.set(0, fakenode.None)
		r.readUntil("return to the preferred address", func(by address.Addr) bool { return by == r.addresses[0] })
		if i == 0 {
			r.set(1, fakenode.Refused) // the second address fails as well, and the third serves
			r.set(0, fakenode.Refused)
			if by := r.expectServed(writeRequestFormat); by != r.addresses[2] {
				t.Errorf("request used address %v, want the third one", by)
			}
			r.set(1, fakenode.None)
			r.set(0, fakenode.None)
			r.readUntil("return to the preferred address", func(by address.Addr) bool { return by == r.addresses[0] })
		}
	}
}

// An address accepts connections and hangs. The request that is written there ends at its own deadline and runs nowhere
// else. The others use the next address, and only reads probe the hung address, on one connection at a time.
func TestAddressAcceptsAndHangs(t *testing.T) {
	r := newAddressHarness(t, withShortTimes())
	r.expectServed(readRequestFormat)
	r.set(0, fakenode.Hang)
	hanging, got := r.send(writeRequestFormat, 3*time.Second)
	r.readUntil("switch to the next address", func(by address.Addr) bool { return by == r.addresses[1] })
	accepted := r.node.AcceptedConns(r.addresses[0])
	for range 50 {
		r.expectServed(writeRequestFormat) // writes never use the hung address
	}
	for r.node.AcceptedConns(r.addresses[0]) < accepted+2 {
		_, got := r.send(readRequestFormat, 300*ms) // some are trials of the hung address
		<-got
		if open := r.node.OpenConns(r.addresses[0]); open > 1+1 { // the hanging write and one trial
			t.Fatalf("%d connections to the hung address, want at most that of the hanging write and one trial", open)
		}
	}
	if x := <-got; x.Status != policy.TimedOut || len(r.node.Arrivals(hanging)) != 0 {
		t.Errorf("write on the hung address ended as %+v, arrivals %v, want a timeout and no arrival", x, r.node.Arrivals(hanging))
	}
	r.set(0, fakenode.None)
	r.readUntil("return to the preferred address", func(by address.Addr) bool { return by == r.addresses[0] })
}

// A request that was written and got no response is not written again over another address, whatever the fault is. Retries
// are decided by the core.
func TestWrittenRequestIsNotResent(t *testing.T) {
	for _, f := range []fakenode.Fault{fakenode.NoResponse, fakenode.HalfResponse, fakenode.Reset, fakenode.Hang} {
		r := newAddressHarness(t, withShortTimes())
		r.expectServed(readRequestFormat)
		r.set(0, f)
		var ids []string
		var results []chan core.Result
		for range 5 {
			id, got := r.send(writeRequestFormat, time.Second)
			ids, results = append(ids, id), append(results, got)
		}
		for i, got := range results {
			x := <-got
			if n := len(r.node.Arrivals(ids[i])); n > 1 || r.node.Executions(ids[i]) > 1 || x.Status == policy.OK && n != 1 || len(got) > 0 {
				t.Errorf("fault %v: attempt ended as %+v, request arrived %d times", f, x, n)
			}
		}
	}
}

// All addresses fail at once, then one recovers: there is no burst of dials.
func TestAllAddressesFail(t *testing.T) {
	r := newAddressHarness(t, withoutSuspicion())
	r.expectServed(readRequestFormat)
	for i := range r.addresses {
		r.set(i, fakenode.Refused)
	}
	failed := 0
	for failed < 300 {
		_, got := r.send(readRequestFormat, time.Minute)
		if x := <-got; x.Status == policy.OK {
			t.Fatal("a read was served although all addresses fail")
		}
		failed++
	}
	r.node.ResetState()
	gate := make(chan struct{})
	r.gate.Store(&gate) // the address accepts again and does not respond yet
	r.set(2, fakenode.None)
	var trial chan core.Result
	for trial == nil || r.node.Counts().Requests == 0 {
		_, got := r.send(writeRequestFormat, time.Minute)
		for len(got) == 0 && r.node.Counts().Requests == 0 {
			time.Sleep(ms)
		}
		trial = got
	}
	for range 200 { // while the trial is in flight, other attempts end as not run and dial nothing
		_, got := r.send(writeRequestFormat, time.Minute)
		if x := <-got; x.Status != policy.ConnectFailed {
			t.Errorf("attempt during the trial ended as %+v", x)
		}
	}
	if n := r.node.AcceptedConns(r.addresses[2]); n != 1 {
		t.Errorf("%d connections to the recovered address, want 1", n)
	}
	r.gate.Store(nil)
	close(gate)
	if x := <-trial; x.Status != policy.OK {
		t.Errorf("trial ended as %+v", x)
	}
	r.readUntil("use of the recovered address", func(by address.Addr) bool { return by == r.addresses[2] })
	if executions, _ := r.node.MaxExecutions(); executions > 1 {
		t.Errorf("one request was executed %d times", executions)
	}
}

// Another node has taken over the port of an address. Its rejections are reported as Abandoned, so that the right node is not
// considered full. With an identity header the first response suffices to detect this.
func TestAddressTakenOverByAnotherNode(t *testing.T) {
	for _, identity := range []string{"", "X-Node"} {
		r := newAddressHarness(t, withShortTimes())
		r.dialer.Addresses.Set(AddressSettings{Selector: withShortTimes(), IdentityHeader: identity})
		r.expectServed(readRequestFormat)
		r.client.Drain(false)
		r.set(0, fakenode.Refused)
		r.set(0, fakenode.OtherNode)
		full, abandoned := 0, 0
		r.readUntil("switch to another address", func(by address.Addr) bool { return by == r.addresses[1] })
		for r.node.Counts().Rejected < 12 && identity == "" || abandoned == 0 {
			_, got := r.send(readRequestFormat, time.Minute)
			switch x := <-got; x.Status {
			case policy.NodeFull:
				full++
			case policy.Abandoned:
				abandoned++
			case policy.OK:
				if string(x.Payload.(*nodeResponse).body) == "" {
					t.Error("served with an empty body")
				}
			}
			if abandoned > 2 {
				break
			}
		}
		if full > 4 || identity != "" && full > 0 {
			t.Errorf("identity %q: reported as full %d times", identity, full)
		}
		r.set(0, fakenode.None)
		r.readUntil("return to the first address", func(by address.Addr) bool { return by == r.addresses[0] })
	}
}

// The node drains while several dials race: all waiting attempts end, nothing is written, and connections that are
// established late are closed.
func TestDrainDuringConnectRace(t *testing.T) {
	r := newAddressHarness(t, withoutSuspicion())
	release := make(chan struct{})
	var waiting atomic.Int64
	r.dialer.dial = func(_ context.Context, a address.Addr, _ time.Duration) (transport.Stream, address.Reason, error) {
		waiting.Add(1)
		<-release // succeeds late, whatever happens in the meantime
		return transport.Dial(context.Background(), a, time.Minute)
	}
	var results []chan core.Result
	for range 10 {
		_, got := r.send(writeRequestFormat, time.Minute)
		results = append(results, got)
	}
	for waiting.Load() < 10 {
		time.Sleep(ms)
	}
	r.client.Drain(true)
	for _, got := range results {
		if x := <-got; x.Status != policy.ConnectFailed {
			t.Errorf("attempt that waited for a dial when the node began to drain ended as %+v", x)
		}
	}
	close(release)
	for r.node.Counts().Conns < int(waiting.Load()) {
		time.Sleep(ms)
	}
	for r.node.OpenConns(r.addresses[0])+r.node.OpenConns(r.addresses[1])+r.node.OpenConns(r.addresses[2]) > 0 {
		time.Sleep(ms) // loops until connections that were established late are closed
	}
	_, got := r.send(writeRequestFormat, time.Minute)
	if x := <-got; x.Status != policy.ConnectFailed || r.node.Counts().Requests != 0 {
		t.Errorf("attempt on the draining node ended as %+v, %d requests arrived", x, r.node.Counts().Requests)
	}
	r.client.Drain(false)
	r.expectServed(writeRequestFormat)
}

// A dial that fails for lack of descriptors does not count against the address, which serves again once there are
// descriptors.
func TestNoDescriptorsForAddresses(t *testing.T) {
	r := newAddressHarness(t, withoutSuspicion())
	var noDescriptors atomic.Bool
	r.dialer.dial = func(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
		if noDescriptors.Load() {
			return nil, transport.ClassifyDialError(syscall.EMFILE, a.Family()), syscall.EMFILE
		}
		return transport.Dial(ctx, a, within)
	}
	noDescriptors.Store(true)
	for range 20 {
		_, got := r.send(writeRequestFormat, time.Minute)
		if x := <-got; x.Status != policy.ConnectFailed {
			t.Fatalf("attempt without a descriptor ended as %+v", x)
		}
	}
	noDescriptors.Store(false)
	if by := r.expectServed(writeRequestFormat); by != r.addresses[0] {
		t.Errorf("request used address %v, want the preferred one", by)
	}
	r.dialer.MaxConns = 1 // the scheduler's own connection limit has the same effect
	done := make(chan bool)
	go func() { r.set(0, fakenode.Hang); close(done) }()
	<-done
	_, hanging := r.send(readRequestFormat, 500*ms)
	_, got := r.send(writeRequestFormat, time.Minute)
	if x := <-got; x.Status != policy.ConnectFailed {
		t.Errorf("attempt at the connection limit ended as %+v", x)
	}
	<-hanging
	for _, e := range r.hook.AllEntries() {
		if a := e.Data["address"]; a == r.addresses[1].String() || a == r.addresses[2].String() {
			t.Errorf("a change of the address's state was logged: %v", e.Data)
		}
	}
}

// On a machine without IPv6 this is logged once for all nodes, at level info or a less severe one, and the other addresses serve.
func TestMachineWithoutIPv6(t *testing.T) {
	r := newAddressHarness(t, withoutSuspicion())
	r.dialer.dial = func(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
		if a.Family() == address.IPv6 {
			return nil, transport.ClassifyDialError(syscall.EAFNOSUPPORT, a.Family()), syscall.EAFNOSUPPORT
		}
		return transport.Dial(ctx, a, within)
	}
	for i := range 3 {
		p := r.dialer.Connect(fmt.Sprint("n", i), r.addresses[1:])
		defer p.Close() //nolint:gocritic // all are closed at the end of the test
		r.client = p
		if by := r.expectServed(writeRequestFormat); by != r.addresses[2] {
			t.Errorf("request used address %v, want the IPv4 one", by)
		}
	}
	logged := 0
	for _, e := range r.hook.AllEntries() {
		if e.Data["family"] == "ipv6" {
			logged++
		}
		if e.Level < logrus.InfoLevel {
			t.Errorf("unexpected log line at level %v: %s", e.Level, e.Message)
		}
	}
	if logged != 1 {
		t.Errorf("missing IPv6 was logged %d times, want once", logged)
	}
}

// The address list of a node client changes from one address to several and back to one. A request in flight ends on the
// connection that carries it.
func TestAddressListChanges(t *testing.T) {
	r := newAddressHarness(t, withoutSuspicion())
	release := make(chan bool)
	slow := newFakeNode(t, func(nc net.Conn) bool { <-release; fmt.Fprint(nc, okResponse); return true })
	r.client = r.dialer.Connect("m", addressesOf(slow.ln))
	defer r.client.Close()
	_, first := r.send(writeRequestFormat, time.Minute)
	for slow.requests.Load() < 1 {
		time.Sleep(ms)
	}
	r.client.SetAddresses(r.addresses)
	if by := r.expectServed(writeRequestFormat); by != r.addresses[0] {
		t.Errorf("after the change to several addresses, a request used address %v", by)
	}
	r.client.SetAddresses(r.addresses[2:])
	if by := r.expectServed(writeRequestFormat); by != r.addresses[2] {
		t.Errorf("after the change back to one address, a request used address %v", by)
	}
	release <- true
	if x := <-first; x.Status != policy.OK {
		t.Errorf("request in flight during the changes ended as %+v", x)
	}
	one := r.dialer.Connect("o", r.addresses[2:])
	defer one.Close()
	r.client = one
	r.expectServed(writeRequestFormat)
	one.SetAddresses(r.addresses[1:2]) // one address replaced by another, without a selector
	if by := r.expectServed(writeRequestFormat); by != r.addresses[1] {
		t.Errorf("after one address replaced another, a request used address %v", by)
	}
}

// Addresses are reordered, added and removed while requests are in flight: each request gets one complete response and
// runs once.
func TestAddressListChangesUnderLoad(t *testing.T) {
	r := newAddressHarness(t, withShortTimes())
	set := testSettings()
	f, c := r.startServer(set, 50)
	list := func(kind policy.EventKind, to ...address.Addr) {
		c.UpdateList(core.ListUpdate{Kind: kind, Nodes: []core.Node{{Node: policy.Node{ID: "n", Weight: 1}, Addresses: to}}})
	}
	stop := make(chan struct{})
	var changes sync.WaitGroup
	changes.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			a := r.addresses
			list(policy.ListChanged, [][]address.Addr{{a[1], a[0], a[2]}, {a[2]}, {a[0], a[1]}, {a[1], a[2]}, a}[i%5]...)
			time.Sleep(2 * ms)
		}
	})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for j := range 60 {
				id := fmt.Sprintf("c%d-%d", i, j)
				text := writeRequestFormat
				if j%2 == 0 {
					text = readRequestFormat
				}
				if a := f.send(t, fmt.Sprintf(text, id)); a.StatusCode() != 200 || string(a.Body()) != id {
					t.Errorf("request %s: status %d, body %q, want status 200 and the id as body", id, a.StatusCode(), a.Body())
				}
				if n := r.node.Executions(id); n != 1 {
					t.Errorf("request %s was executed %d times", id, n)
				}
			}
		})
	}
	clients.Wait()
	close(stop)
	changes.Wait()
}

// startServer returns a server and a core with the given settings for the harness's node.
func (r *addressHarness) startServer(set policy.Settings, conns int) (*frontHarness, *core.Core) {
	r.t.Helper()
	c, err := core.New(core.Options{Settings: set, Seed: 1, NewNodeClient: r.dialer.Connect, Log: r.dialer.Log})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Stop)
	c.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: []core.Node{{Node: policy.Node{ID: "n", Weight: 1}, Addresses: r.addresses}}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { ln.Close() })
	f := &frontHarness{srv: NewServer(c, set, conns, r.dialer.Log), address: ln.Addr().String(), served: make(chan error, 1), dialer: r.dialer}
	f.srv.http.ReadTimeout = time.Hour
	go func() { f.served <- f.srv.Serve(ln, conns) }()
	return f, c
}

// Half of the response to a write arrives, so it may have run. Within 2.5 s of its first byte the write is retried, eventually
// over another address, and its key is executed once. Later it is not retried, although deadline and attempts would allow
// it. A non-idempotent write is never retried.
func TestUnansweredWriteIsRetriedWithinDedupWindow(t *testing.T) {
	for _, x := range []struct {
		class       string
		serviceTime time.Duration // of the first attempt
		retried     bool
	}{{"new-record", 0, true}, {"new-record", 2600 * ms, false}, {"once", 0, false}} {
		r := newAddressHarness(t, withShortTimes())
		set := testSettings()
		set.MaxAttempts = 4
		set.Classes[1].Deadline, set.Classes[1].LatencyObjective = 30e3, 20e3
		set.Classes = append(set.Classes, policy.Class{Name: "once", LatencyObjective: 20e3, Deadline: 30e3, PriorityWeight: 1, Effect: policy.NonIdempotent})
		f, _ := r.startServer(set, 50)
		f.send(t, fmt.Sprintf(readRequestFormat, "warm"))
		gate := make(chan struct{})
		r.gate.Store(&gate)
		r.set(0, fakenode.HalfResponse)
		done := make(chan int, 1)
		go func() {
			done <- f.send(t, strings.Replace(fmt.Sprintf(writeRequestFormat, "d"), "new-record", x.class, 1)).StatusCode()
		}()
		for len(r.node.Arrivals("d")) == 0 {
			time.Sleep(ms)
		}
		time.Sleep(x.serviceTime)
		r.gate.Store(nil)
		close(gate)
		code, all := <-done, r.node.Arrivals("d")
		if r.node.Executions("d") != 1 || r.node.KeyExecutions("kd") != 1 || (len(all) > 1) != x.retried || (code == 200) != x.retried {
			t.Errorf("%+v: client got status %d, arrivals at the node %+v", x, code, all)
		}
		// A single break of a reused connection does not make its address suspect, so the first retry may use it again.
		if last := all[len(all)-1]; x.retried && (last.Addr == all[0].Addr || last.At.Sub(all[0].At) > 2500*ms) {
			t.Errorf("%+v: last retry used the same address or came after the deduplication window: %+v", x, all)
		}
	}
}

// All addresses fail for so long that the node may have restarted, then one recovers. The work sent over all addresses stays
// within the slow start limit.
func TestSlowStartBudgetAfterOutage(t *testing.T) {
	// The node is slow for its latency objective, because slow start ends early for a node that responds fast.
	r := newAddressHarness(t, withShortTimes(), 25*ms)
	set := testSettings()
	set.MaxAttempts, set.SlowStartUnits, set.OverloadWindow, set.OverloadMultiple, set.SlowStartShare, set.SlowStartDuration = 4, 12, 1000, 0, 0.24, 1e6
	set.Classes[0].LatencyObjective, set.Classes[0].Deadline = 40, 900
	f, _ := r.startServer(set, 400)
	var wg sync.WaitGroup
	var n atomic.Int64
	sendRead := func() {
		wg.Go(func() {
			text := strings.Replace(readRequestFormat, "X-Deadline-Ms: 60000", "X-Deadline-Ms: 900", 1)
			nc, err := net.Dial("tcp", f.address)
			if err != nil {
				return
			}
			defer nc.Close()
			fmt.Fprintf(nc, text, fmt.Sprint("z", n.Add(1)))
			var a fasthttp.Response
			_ = a.Read(bufio.NewReader(nc))
		})
	}
	f.send(t, fmt.Sprintf(readRequestFormat, "warm"))
	for i := range r.addresses {
		r.set(i, fakenode.Refused)
	}
	for start := time.Now(); time.Since(start) < 4500*ms; time.Sleep(10 * ms) {
		sendRead()
	}
	r.node.ResetState()
	r.set(1, fakenode.None)
	for start := time.Now(); time.Since(start) < 900*ms; time.Sleep(2 * ms) {
		sendRead()
	}
	wg.Wait()
	var first time.Time
	units := 0
	r.node.EachRequest(func(_ string, all []fakenode.Arrival) {
		for _, a := range all {
			if first.IsZero() || a.At.Before(first) {
				first = a.At
			}
		}
	})
	r.node.EachRequest(func(_ string, all []fakenode.Arrival) {
		for _, a := range all {
			if a.At.Sub(first) <= 1000*ms {
				units += 2
			}
		}
	})
	if units == 0 || float64(units) > set.SlowStartUnits+set.MaxUnits { // one more request may fall on the edge of the second
		t.Errorf("%d units were sent in the first second after the recovery, the slow start limit is %v", units, set.SlowStartUnits)
	}
}
