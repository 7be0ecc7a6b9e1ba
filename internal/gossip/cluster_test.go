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

// faultyNetwork is the network between the processes. It loses, duplicates, reorders and truncates datagrams at random,
// and can separate two partitions.
type faultyNetwork struct {
	mu                                   sync.Mutex
	rand                                 *rand.Rand
	faultProbability                     float64 // of each kind of fault
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
	earlier := f.delayed
	f.delayed = nil
	switch d := f.network.rand.Float64() / max(f.network.faultProbability, 1e-9); {
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
	for _, sendEarlier := range earlier {
		sendEarlier()
	}
	return time.Now(), nil
}

func (f *faultyTransport) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return f.DialAddressTimeout(memberlist.Address{Addr: addr}, wait)
}

func (f *faultyTransport) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	f.network.mu.Lock()
	f.network.dialed++
	unreachable := f.network.partitioned && f.network.partition[f.address] != f.network.partition[a.Addr]
	f.network.mu.Unlock()
	if unreachable {
		return nil, fmt.Errorf("%s is in the other partition", a.Addr)
	}
	return f.NetTransport.DialAddressTimeout(a, wait)
}

func (n *faultyNetwork) setPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

// testFleet consists of several processes. The first half of them is one partition.
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

func (f *testFleet) transport(port int) *faultyTransport {
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}, BindPort: port,
		Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		f.t.Fatal(err)
	}
	return &faultyTransport{NetTransport: nt, network: f.network, address: fmt.Sprintf("127.0.0.1:%d", nt.GetAutoBindPort())}
}

func (f *testFleet) start(i int, incarnation uint64, transport *faultyTransport) *Cluster {
	var makeSnapshot func(SnapshotKind) []byte
	if f.makeSnapshot != nil {
		makeSnapshot = f.makeSnapshot(i)
	}
	p, err := Start(Options{MakeSnapshot: makeSnapshot, Name: fmt.Sprint("p", i), Incarnation: incarnation, Listen: transport.address, Seeds: f.seeds, Interval: 20 * time.Millisecond,
		Burst: 8, State: nodestats.Defaults(), Seed: uint64(i), Log: discardLog(), Transport: transport})
	if err != nil {
		f.t.Fatal(err)
	}
	return p
}

func startFleet(t *testing.T, n int, faultProbability float64) *testFleet {
	return startFleetWith(t, n, faultProbability, nil)
}

func startFleetWith(t *testing.T, n int, faultProbability float64, makeSnapshot func(i int) func(SnapshotKind) []byte) *testFleet {
	fleet := &testFleet{t: t, makeSnapshot: makeSnapshot, network: &faultyNetwork{rand: rand.New(rand.NewPCG(20261201, uint64(n))), faultProbability: faultProbability, partition: map[string]int{}}}
	var transports []*faultyTransport
	for i := range n {
		transport := fleet.transport(0)
		fleet.network.partition[transport.address] = 2 * i / n
		transports, fleet.seeds = append(transports, transport), append(fleet.seeds, transport.address)
	}
	for i, transport := range transports {
		fleet.peers = append(fleet.peers, fleet.start(i, 1, transport))
	}
	t.Cleanup(func() {
		for _, p := range fleet.peers {
			p.Stop()
		}
		awaitNoGoroutines(t)
	})
	return fleet
}

// await waits for a condition and fails the test after a minute.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out after a minute, waiting for: " + what)
		}
	}
}

// awaitNoGoroutines waits for all goroutines to end. A health check of memberlist may still wait for its reply.
func awaitNoGoroutines(t *testing.T) {
	await(t, "no goroutine is left", func() bool { return goleak.Find() == nil })
}

// digest returns the digest of a process's state.
func digest(p *Cluster) (d []byte) {
	p.WithState(func(now time.Duration, s *nodestats.State) { d = s.Digest(now) })
	return d
}

// sameStates reports whether all processes have the same state.
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

// observe lets each process record a number of random outcomes and its list version.
func (f *testFleet) observe(r *rand.Rand, each int) {
	for i, p := range f.peers {
		for range each {
			p.Observe(nodestats.Key{Node: fmt.Sprint("n", r.IntN(30)), StartTime: 1, Class: fmt.Sprint("c", r.IntN(3))}, r.Float64()*9, r.Float64()*50, nodestats.Outcome(r.IntN(4)))
		}
		p.WithState(func(now time.Duration, s *nodestats.State) { s.SetListVersion(now, int64(100+i)) })
	}
}

// totalWeight returns the weight of all outcomes in a process's views.
func totalWeight(p *Cluster) (n float64) {
	for _, v := range p.Views() {
		n += v.Sums.N + v.Rejected + v.Failed + v.TimedOut
	}
	return n
}

// After two partitions with different observations rejoin, all processes converge to the same state, which is equal to one
// merge of everything, although datagrams are lost, duplicated, reordered and truncated.
func TestPartitionsConvergeAfterTheyRejoin(t *testing.T) {
	fleet := startFleet(t, 6, 0.08)
	random := rand.New(rand.NewPCG(1, 1))
	fleet.observe(random, 50)
	await(t, "equal states", func() bool { return sameStates(fleet.peers...) })
	fleet.network.setPartitioned(true)
	fleet.observe(random, 50)
	await(t, "equal states in each partition", func() bool { return sameStates(fleet.peers[:3]...) && sameStates(fleet.peers[3:]...) })
	if sameStates(fleet.peers[0], fleet.peers[5]) {
		t.Error("the partitions were not separated")
	}
	fleet.network.setPartitioned(false)
	await(t, "equal states after rejoining", func() bool { return sameStates(fleet.peers...) })
	merged, err := nodestats.New(nodestats.Defaults(), "merged", 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range fleet.peers {
		p.WithState(func(now time.Duration, s *nodestats.State) {
			messages, err := s.Diff(now, merged.Digest(0))
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range messages {
				if err := merged.Merge(0, m); err != nil {
					t.Error(err)
				}
			}
		})
	}
	if !merged.MatchesDigest(0, digest(fleet.peers[0])) {
		t.Error("the state differs from one merge of everything")
	}
	if n := len(merged.ListVersions(0)); n != 6 {
		t.Errorf("%d processes reported their list version, want 6", n)
	}
	network := fleet.network
	network.mu.Lock()
	defer network.mu.Unlock()
	if network.lost == 0 || network.duplicated == 0 || network.delayed == 0 || network.truncated == 0 || network.blocked == 0 {
		t.Errorf("a kind of fault did not occur: %+v", network)
	}
	t.Logf("%d datagrams: %d lost, %d duplicated, %d delayed, %d truncated, %d blocked between the partitions", network.datagrams, network.lost, network.duplicated, network.delayed, network.truncated, network.blocked)
}

// After a process was killed and restarted under its name, all processes have only the cells of its later incarnation.
func TestRestartUnderTheSameNameReplacesItsState(t *testing.T) {
	fleet := startFleet(t, 3, 0)
	fleet.peers[2].Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Failed)
	await(t, "the outcome of the killed process at all processes", func() bool { return totalWeight(fleet.peers[0]) > 0.5 && sameStates(fleet.peers...) })
	address := fleet.peers[2].Address()
	fleet.peers[2].Kill()
	_, port, err := splitAddress(address)
	if err != nil {
		t.Fatal(err)
	}
	fleet.peers[2] = fleet.start(2, 2, fleet.transport(port))
	fleet.peers[2].Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Rejected)
	await(t, "equal states with only the outcome after the restart", func() bool {
		v := fleet.peers[0].Views()
		return sameStates(fleet.peers...) && len(v) == 1 && v[0].Rejected > 0.5 && v[0].Failed == 0
	})
}

// Invalid messages do not change the state. They are counted, those of a later version separately, and the other processes
// continue to exchange messages.
func TestInvalidMessagesChangeNothing(t *testing.T) {
	fleet := startFleet(t, 3, 0)
	fleet.observe(rand.New(rand.NewPCG(2, 2)), 20)
	await(t, "equal states", func() bool { return sameStates(fleet.peers...) && fleet.peers[0].members.NumMembers() == 3 })
	before := digest(fleet.peers[0])
	random := rand.New(rand.NewPCG(3, 3))
	var to *memberlist.Node
	for _, n := range fleet.peers[2].members.Members() {
		if n.Name == "p0" {
			to = n
		}
	}
	for i := range 300 {
		b := make([]byte, 1+random.IntN(400))
		for j := range b {
			b[j] = byte(random.Uint32())
		}
		if i%3 > 0 {
			b = append([]byte{byte(messageDigest + i%3), 'W', 'O', byte(2 + i%2)}, b...)
		}
		if err := fleet.peers[2].members.SendReliable(to, b); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "all messages are counted", func() bool {
		n := fleet.peers[0].Counts()
		return n.State.Unreadable+n.State.LaterVersion+n.QueueOverflows+n.SnapshotsInvalid >= 300 && n.State.LaterVersion > 0
	})
	same := false
	fleet.peers[0].WithState(func(now time.Duration, s *nodestats.State) { same = s.MatchesDigest(now, before) })
	if !same {
		t.Error("an invalid message changed the state")
	}
	fleet.peers[1].Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "more"}, 1, 1, nodestats.Served)
	await(t, "a new class arrives", func() bool {
		return slices.ContainsFunc(fleet.peers[0].Views(), func(v nodestats.View) bool { return v.Class == "more" })
	})
}

// While the state is in use and the buffer is full, outcomes are dropped and counted. Observe does not allocate.
func TestObserveNeverWaits(t *testing.T) {
	fleet := startFleet(t, 1, 0)
	p := fleet.peers[0]
	p.WithState(func(time.Duration, *nodestats.State) {
		for range bufferSize + 10 {
			p.Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Served)
		}
	})
	if n := p.Counts(); n.DroppedOutcomes != 10 || n.Outcomes != bufferSize {
		t.Errorf("%d outcomes dropped, %d recorded, want 10 dropped and a full buffer", n.DroppedOutcomes, n.Outcomes)
	}
	if n := testing.AllocsPerRun(1000, func() { p.Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Served) }); n != 0 {
		t.Errorf("%v allocations per call of Observe, want none", n)
	}
}

// Processes reach each other at advertised addresses that work only with an override. Messages are encrypted.
func TestAddressOverrides(t *testing.T) {
	defer awaitNoGoroutines(t)
	var clusters []*Cluster
	start := func(name, advertise string, seeds []string, overrides map[string]string) *Cluster {
		p, err := Start(Options{Name: name, Incarnation: 1, Listen: "127.0.0.1:0", Advertise: advertise, Seeds: seeds, AddressOverrides: overrides,
			Interval: 20 * time.Millisecond, Burst: 8, Key: []byte("0123456789abcdef"), State: nodestats.Defaults(), Log: discardLog()})
		if err != nil {
			t.Fatal(err)
		}
		clusters = append(clusters, p)
		return p
	}
	a := start("a", "", nil, nil)
	b := start("b", "", []string{"127.0.0.9:9"}, map[string]string{"127.0.0.9:9": a.Address()})
	defer b.Stop()
	defer a.Stop()
	a.Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Served)
	await(t, "the outcome of a at b", func() bool { return totalWeight(b) > 0.5 && sameStates(clusters...) })
	if _, err := Start(Options{Name: "c", Listen: "nowhere", State: nodestats.Defaults(), Log: discardLog()}); err == nil {
		t.Error("started with an invalid address")
	}
}

// BenchmarkObserve measures one call of Observe, with a buffer that is never full.
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
			p.Views() // empties the buffer
			b.StartTimer()
		}
		p.Observe(nodestats.Key{Node: "n", StartTime: 1, Class: "c"}, 1, 1, nodestats.Served)
	}
	if n := p.Counts().DroppedOutcomes; n > 0 {
		b.Errorf("%d outcomes dropped", n)
	}
}
