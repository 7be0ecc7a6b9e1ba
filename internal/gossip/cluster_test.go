package gossip

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"wheatsaddle/internal/nodestats"
)

// faultyNetwork is the network between processes: datagrams are lost, duplicated, reordered and truncated by a seed, and the
// two partitions can be separated.
type faultyNetwork struct {
	mu                                   sync.Mutex
	rand                                 *rand.Rand
	share                                float64 // of each kind of fault
	partition                            map[string]int
	partitioned                          bool
	lost, duplicated, delayed, truncated int
	blocked, datagrams, dialed           int
}

// faultyTransport is one process's transport on a faultyNetwork.
type faultyTransport struct {
	*memberlist.NetTransport
	network *faultyNetwork
	address string
	delayed []func()
}

func (f *faultyTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return f.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (f *faultyTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.datagrams++
	b = slices.Clone(b)
	send := func() { _, _ = f.NetTransport.WriteToAddress(b, a) }
	before := f.delayed
	f.delayed = nil
	switch d := f.network.rand.Float64() / max(f.network.share, 1e-9); {
	case f.network.partitioned && f.network.partition[f.address] != f.network.partition[a.Addr]:
		f.network.blocked++
	case d < 1:
		f.network.lost++
	case d < 2:
		f.network.duplicated++
		send()
		send()
	case d < 3:
		f.network.delayed++
		f.delayed = append(f.delayed, send)
	case d < 4:
		f.network.truncated++
		b = b[:1+f.network.rand.IntN(len(b))]
		send()
	default:
		send()
	}
	for _, one := range before {
		one()
	}
	return time.Now(), nil
}

func (f *faultyTransport) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return f.DialAddressTimeout(memberlist.Address{Addr: addr}, wait)
}

func (f *faultyTransport) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	f.network.mu.Lock()
	f.network.dialed++
	away := f.network.partitioned && f.network.partition[f.address] != f.network.partition[a.Addr]
	f.network.mu.Unlock()
	if away {
		return nil, fmt.Errorf("%s is in the other partition", a.Addr)
	}
	return f.NetTransport.DialAddressTimeout(a, wait)
}

func (w *faultyNetwork) set(apart bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = apart
}

// testFleet is some processes; the first half of them is one partition.
type testFleet struct {
	t            *testing.T
	network      *faultyNetwork
	peers        []*Cluster
	seeds        []string
	makeSnapshot func(i int) func(SnapshotKind) []byte
}

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (c *testFleet) transport(port int) *faultyTransport {
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}, BindPort: port,
		Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		c.t.Fatal(err)
	}
	return &faultyTransport{NetTransport: nt, network: c.network, address: fmt.Sprintf("127.0.0.1:%d", nt.GetAutoBindPort())}
}

func (c *testFleet) start(i int, incarnation uint64, f *faultyTransport) *Cluster {
	var give func(SnapshotKind) []byte
	if c.makeSnapshot != nil {
		give = c.makeSnapshot(i)
	}
	p, err := Start(Options{MakeSnapshot: give, Name: fmt.Sprint("p", i), Incarnation: incarnation, Listen: f.address, Seeds: c.seeds, Interval: 20 * time.Millisecond,
		Burst: 8, State: nodestats.Defaults(), Seed: uint64(i), Log: discardLog(), Transport: f})
	if err != nil {
		c.t.Fatal(err)
	}
	return p
}

func startFleet(t *testing.T, n int, share float64) *testFleet {
	return startFleetWith(t, n, share, nil)
}

func startFleetWith(t *testing.T, n int, share float64, give func(i int) func(SnapshotKind) []byte) *testFleet {
	c := &testFleet{t: t, makeSnapshot: give, network: &faultyNetwork{rand: rand.New(rand.NewPCG(20261201, uint64(n))), share: share, partition: map[string]int{}}}
	var ways []*faultyTransport
	for i := range n {
		f := c.transport(0)
		c.network.partition[f.address] = 2 * i / n
		ways, c.seeds = append(ways, f), append(c.seeds, f.address)
	}
	for i, f := range ways {
		c.peers = append(c.peers, c.start(i, 1, f))
	}
	t.Cleanup(func() {
		for _, p := range c.peers {
			p.Stop()
		}
		awaitNoGoroutines(t)
	})
	return c
}

// await waits for a condition and fails the test after a minute.
func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within a minute: " + what)
		}
	}
}

// awaitNoGoroutines waits for goroutines to end: a probe of memberlist may still wait for its reply.
func awaitNoGoroutines(t *testing.T) {
	await(t, "no goroutine is left", func() bool { return goleak.Find() == nil })
}

func digest(p *Cluster) (d []byte) {
	p.WithState(func(now time.Duration, s *nodestats.State) { d = s.Digest(now) })
	return d
}

func sameStates(peers ...*Cluster) bool {
	d := digest(peers[0])
	for _, p := range peers[1:] {
		ok := false
		p.WithState(func(now time.Duration, s *nodestats.State) { ok = s.MatchesDigest(now, d) })
		if !ok {
			return false
		}
	}
	return true
}

func (c *testFleet) observe(r *rand.Rand, each int) {
	for i, p := range c.peers {
		for range each {
			p.Observe(nodestats.Key{Node: fmt.Sprint("n", r.IntN(30)), StartTime: 1, Class: fmt.Sprint("c", r.IntN(3))}, r.Float64()*9, r.Float64()*50, nodestats.Outcome(r.IntN(4)))
		}
		p.WithState(func(now time.Duration, s *nodestats.State) { s.SetListVersion(now, int64(100+i)) })
	}
}

// totalWeight is the weight of all outcomes in a process's views.
func totalWeight(p *Cluster) (n float64) {
	for _, v := range p.Views() {
		n += v.Sums.N + v.Rejected + v.Failed + v.TimedOut
	}
	return n
}

// Two partitions, each with observations of its own, rejoin while datagrams are lost, duplicated, reordered and truncated:
// all processes end with the same state, that of one merge of everything.
func TestPartitionsConvergeAfterTheyRejoin(t *testing.T) {
	c := startFleet(t, 6, 0.08)
	r := rand.New(rand.NewPCG(1, 1))
	c.observe(r, 50)
	await(t, "equal states", func() bool { return sameStates(c.peers...) })
	c.network.set(true)
	c.observe(r, 50)
	await(t, "equal states in each partition", func() bool { return sameStates(c.peers[:3]...) && sameStates(c.peers[3:]...) })
	if sameStates(c.peers[0], c.peers[5]) {
		t.Error("the partitions were not separated")
	}
	c.network.set(false)
	await(t, "equal states after rejoining", func() bool { return sameStates(c.peers...) })
	one, err := nodestats.New(nodestats.Defaults(), "auditor", 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range c.peers {
		p.WithState(func(now time.Duration, s *nodestats.State) {
			all, err := s.Diff(now, one.Digest(0))
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range all {
				if err := one.Merge(0, m); err != nil {
					t.Error(err)
				}
			}
		})
	}
	if !one.MatchesDigest(0, digest(c.peers[0])) {
		t.Error("the state differs from one merge of everything")
	}
	if n := len(one.ListVersions(0)); n != 6 {
		t.Errorf("%d processes reported their list version", n)
	}
	w := c.network
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost == 0 || w.duplicated == 0 || w.delayed == 0 || w.truncated == 0 || w.blocked == 0 {
		t.Errorf("a kind of fault did not occur: %+v", w)
	}
	t.Logf("%d datagrams: %d lost, %d duplicated, %d delayed, %d truncated, %d blocked between the partitions", w.datagrams, w.lost, w.duplicated, w.delayed, w.truncated, w.blocked)
}

// After a process was killed and restarted under its name, all processes hold its later incarnation alone.
func TestRestartUnderTheSameNameReplacesItsState(t *testing.T) {
	c := startFleet(t, 3, 0)
	c.peers[2].Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Failed)
	await(t, "the outcome at all processes", func() bool { return totalWeight(c.peers[0]) > 0.5 && sameStates(c.peers...) })
	at := c.peers[2].Address()
	c.peers[2].Kill()
	_, port, err := splitAddress(at)
	if err != nil {
		t.Fatal(err)
	}
	c.peers[2] = c.start(2, 2, c.transport(port))
	c.peers[2].Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Rejected)
	await(t, "equal states", func() bool {
		v := c.peers[0].Views()
		return sameStates(c.peers...) && len(v) == 1 && v[0].Rejected > 0.5 && v[0].Failed == 0
	})
}

// A process that sends invalid messages: all are counted and change nothing, those of a later version separately, and the
// others continue to exchange.
func TestInvalidMessagesChangeNothing(t *testing.T) {
	c := startFleet(t, 3, 0)
	c.observe(rand.New(rand.NewPCG(2, 2)), 20)
	await(t, "equal states", func() bool { return sameStates(c.peers...) && c.peers[0].members.NumMembers() == 3 })
	before := digest(c.peers[0])
	r := rand.New(rand.NewPCG(3, 3))
	var to *memberlist.Node
	for _, n := range c.peers[2].members.Members() {
		if n.Name == "p0" {
			to = n
		}
	}
	for i := range 300 {
		b := make([]byte, 1+r.IntN(400))
		for j := range b {
			b[j] = byte(r.Uint32())
		}
		if i%3 > 0 {
			b = append([]byte{byte(messageDigest + i%3), 'W', 'O', byte(2 + i%2)}, b...)
		}
		if err := c.peers[2].members.SendReliable(to, b); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "all messages are counted", func() bool {
		n := c.peers[0].Counts()
		return n.State.Unreadable+n.State.LaterVersion+n.QueueOverflows+n.SnapshotsInvalid >= 300 && n.State.LaterVersion > 0
	})
	same := false
	c.peers[0].WithState(func(now time.Duration, s *nodestats.State) { same = s.MatchesDigest(now, before) })
	if !same {
		t.Error("an invalid message changed the state")
	}
	c.peers[1].Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "more"}, 1, 1, nodestats.Served)
	await(t, "a new class arrives", func() bool {
		return slices.ContainsFunc(c.peers[0].Views(), func(v nodestats.View) bool { return v.Class == "more" })
	})
}

// While the state is in use and the buffer is full, outcomes are counted as dropped.
func TestObserveNeverWaits(t *testing.T) {
	c := startFleet(t, 1, 0)
	p := c.peers[0]
	p.WithState(func(time.Duration, *nodestats.State) {
		for range bufferSize + 10 {
			p.Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Served)
		}
	})
	if n := p.Counts(); n.DroppedOutcomes != 10 || n.Outcomes != bufferSize {
		t.Errorf("%d dropped, %d recorded", n.DroppedOutcomes, n.Outcomes)
	}
	if n := testing.AllocsPerRun(1000, func() { p.Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Served) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Advertised addresses that only an override reaches. Messages are encrypted here.
func TestAddressOverrides(t *testing.T) {
	defer awaitNoGoroutines(t)
	var ps []*Cluster
	start := func(name, advertise string, seeds []string, via map[string]string) *Cluster {
		p, err := Start(Options{Name: name, Incarnation: 1, Listen: "127.0.0.1:0", Advertise: advertise, Seeds: seeds, AddressOverrides: via,
			Interval: 20 * time.Millisecond, Burst: 8, Key: []byte("0123456789abcdef"), State: nodestats.Defaults(), Log: discardLog()})
		if err != nil {
			t.Fatal(err)
		}
		ps = append(ps, p)
		return p
	}
	a := start("a", "", nil, nil)
	b := start("b", "", []string{"127.0.0.9:9"}, map[string]string{"127.0.0.9:9": a.Address()})
	defer b.Stop()
	defer a.Stop()
	a.Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Served)
	await(t, "the outcome of a at b", func() bool { return totalWeight(b) > 0.5 && sameStates(ps...) })
	if _, err := Start(Options{Name: "c", Listen: "nowhere", State: nodestats.Defaults(), Log: discardLog()}); err == nil {
		t.Error("started with an invalid address")
	}
}

func BenchmarkObserve(b *testing.B) {
	p, err := Start(Options{Name: "p", Listen: "127.0.0.1:0", Interval: time.Hour, Burst: 8, State: nodestats.Defaults(), Log: discardLog()})
	if err != nil {
		b.Fatal(err)
	}
	defer p.Kill()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%(bufferSize/4) == 0 {
			b.StopTimer()
			p.Views() // drains
			b.StartTimer()
		}
		p.Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Served)
	}
	if n := p.Counts().DroppedOutcomes; n > 0 {
		b.Errorf("%d lost", n)
	}
}
