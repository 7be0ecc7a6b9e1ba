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

// world is what is between processes: datagrams are lost, doubled, reordered and cut by a seed, and
// halves can be apart.
type world struct {
	mu                         sync.Mutex
	rand                       *rand.Rand
	share                      float64 // of each fault
	half                       map[string]int
	apart                      bool
	lost, doubled, late, cut   int
	refused, datagrams, dialed int
}

// faulty is one process's way into the world.
type faulty struct {
	*memberlist.NetTransport
	w    *world
	me   string
	held []func()
}

func (f *faulty) WriteTo(b []byte, addr string) (time.Time, error) {
	return f.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (f *faulty) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.w.datagrams++
	b = slices.Clone(b)
	send := func() { _, _ = f.NetTransport.WriteToAddress(b, a) }
	before := f.held
	f.held = nil
	switch d := f.w.rand.Float64() / max(f.w.share, 1e-9); {
	case f.w.apart && f.w.half[f.me] != f.w.half[a.Addr]:
		f.w.refused++
	case d < 1:
		f.w.lost++
	case d < 2:
		f.w.doubled++
		send()
		send()
	case d < 3:
		f.w.late++
		f.held = append(f.held, send)
	case d < 4:
		f.w.cut++
		b = b[:1+f.w.rand.IntN(len(b))]
		send()
	default:
		send()
	}
	for _, one := range before {
		one()
	}
	return time.Now(), nil
}

func (f *faulty) DialTimeout(addr string, wait time.Duration) (net.Conn, error) {
	return f.DialAddressTimeout(memberlist.Address{Addr: addr}, wait)
}

func (f *faulty) DialAddressTimeout(a memberlist.Address, wait time.Duration) (net.Conn, error) {
	f.w.mu.Lock()
	f.w.dialed++
	away := f.w.apart && f.w.half[f.me] != f.w.half[a.Addr]
	f.w.mu.Unlock()
	if away {
		return nil, fmt.Errorf("%s is apart", a.Addr)
	}
	return f.NetTransport.DialAddressTimeout(a, wait)
}

func (w *world) set(apart bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apart = apart
}

// crowd is some processes; the first half of them is one half.
type crowd struct {
	t     *testing.T
	w     *world
	peers []*Cluster
	seeds []string
	give  func(i int) func(SnapshotKind) []byte
}

func quiet() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (c *crowd) transport(port int) *faulty {
	nt, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}, BindPort: port,
		Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		c.t.Fatal(err)
	}
	return &faulty{NetTransport: nt, w: c.w, me: fmt.Sprintf("127.0.0.1:%d", nt.GetAutoBindPort())}
}

func (c *crowd) start(i int, incarnation uint64, f *faulty) *Cluster {
	var give func(SnapshotKind) []byte
	if c.give != nil {
		give = c.give(i)
	}
	p, err := Start(Options{MakeSnapshot: give, Name: fmt.Sprint("p", i), Incarnation: incarnation, Listen: f.me, Seeds: c.seeds, Interval: 20 * time.Millisecond,
		Burst: 8, State: nodestats.Defaults(), Seed: uint64(i), Log: quiet(), Transport: f})
	if err != nil {
		c.t.Fatal(err)
	}
	return p
}

func gather(t *testing.T, n int, share float64) *crowd { return giving(t, n, share, nil) }

func giving(t *testing.T, n int, share float64, give func(i int) func(SnapshotKind) []byte) *crowd {
	c := &crowd{t: t, give: give, w: &world{rand: rand.New(rand.NewPCG(20261201, uint64(n))), share: share, half: map[string]int{}}}
	var ways []*faulty
	for i := range n {
		f := c.transport(0)
		c.w.half[f.me] = 2 * i / n
		ways, c.seeds = append(ways, f), append(c.seeds, f.me)
	}
	for i, f := range ways {
		c.peers = append(c.peers, c.start(i, 1, f))
	}
	t.Cleanup(func() {
		for _, p := range c.peers {
			p.Stop()
		}
		gone(t)
	})
	return c
}

// await waits for a condition; only a hang ends it otherwise.
func await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// gone waits for the goroutines: a probe of the library's may still wait for its answer.
func gone(t *testing.T) {
	await(t, "no goroutine is left", func() bool { return goleak.Find() == nil })
}

func digest(p *Cluster) (d []byte) {
	p.WithState(func(now time.Duration, s *nodestats.State) { d = s.Digest(now) })
	return d
}

func same(peers ...*Cluster) bool {
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

func (c *crowd) work(r *rand.Rand, each int) {
	for i, p := range c.peers {
		for range each {
			p.Observe(fmt.Sprint("n", r.IntN(30)), 1, fmt.Sprint("c", r.IntN(3)), r.Float64()*9, r.Float64()*50, nodestats.Outcome(r.IntN(4)))
		}
		p.WithState(func(now time.Duration, s *nodestats.State) { s.SetListVersion(now, int64(100+i)) })
	}
}

func served(p *Cluster) (n float64, origins int) {
	for _, v := range p.Views() {
		n, origins = n+v.Sums.N+v.Rejected+v.Failed+v.TimedOut, max(origins, v.Origins)
	}
	return n, origins
}

// Two halves cut apart, each with its own work, joined again under loss, doubling, reordering and cut messages:
// all end with the same state, that of one merge of all.
func TestHalvesJoinAgainWithOneState(t *testing.T) {
	c := gather(t, 6, 0.08)
	r := rand.New(rand.NewPCG(1, 1))
	c.work(r, 50)
	await(t, "all alike", func() bool { return same(c.peers...) })
	c.w.set(true)
	c.work(r, 50)
	await(t, "each half alike", func() bool { return same(c.peers[:3]...) && same(c.peers[3:]...) })
	if same(c.peers[0], c.peers[5]) {
		t.Error("the halves were not apart")
	}
	c.w.set(false)
	await(t, "all alike again", func() bool { return same(c.peers...) })
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
		t.Error("not the state of one merge of all")
	}
	if n := len(one.ListVersions(0)); n != 6 {
		t.Errorf("%d processes told their list's version", n)
	}
	w := c.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost == 0 || w.doubled == 0 || w.late == 0 || w.cut == 0 || w.refused == 0 {
		t.Errorf("a fault did not happen: %+v", w)
	}
	t.Logf("%d datagrams: %d lost, %d doubled, %d late, %d cut, %d between the halves", w.datagrams, w.lost, w.doubled, w.late, w.cut, w.refused)
}

// A process that is killed and starts under its name: all end with its later life alone, and its figures of before
// do not come back.
func TestKilledAndStartedUnderItsName(t *testing.T) {
	c := gather(t, 3, 0)
	c.peers[2].Observe("n", 1, "c", 1, 1, nodestats.Failed)
	await(t, "all know of it", func() bool { n, _ := served(c.peers[0]); return n > 0.5 && same(c.peers...) })
	at := c.peers[2].Address()
	c.peers[2].Kill()
	_, port, err := split(at)
	if err != nil {
		t.Fatal(err)
	}
	c.peers[2] = c.start(2, 2, c.transport(port))
	c.peers[2].Observe("n", 1, "c", 1, 1, nodestats.Rejected)
	await(t, "all alike", func() bool {
		v := c.peers[0].Views()
		return same(c.peers...) && len(v) == 1 && v[0].Rejected > 0.5 && v[0].Failed == 0
	})
}

// A process that sends nonsense: all of it is counted and changes nothing, and the others go on. What it sends
// of a later version is counted apart.
func TestNonsenseChangesNothing(t *testing.T) {
	c := gather(t, 3, 0)
	c.work(rand.New(rand.NewPCG(2, 2)), 20)
	await(t, "all alike", func() bool { return same(c.peers...) && c.peers[0].list.NumMembers() == 3 })
	before := digest(c.peers[0])
	r := rand.New(rand.NewPCG(3, 3))
	var to *memberlist.Node
	for _, n := range c.peers[2].list.Members() {
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
			b = append([]byte{byte(tagAsk + i%3), 'W', 'O', byte(2 + i%2)}, b...)
		}
		if err := c.peers[2].list.SendReliable(to, b); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "all of it counted", func() bool {
		n := c.peers[0].Counts()
		return n.State.Unreadable+n.State.LaterVersion+n.QueueOverflows+n.SnapshotsInvalid >= 300 && n.State.LaterVersion > 0
	})
	same := false
	c.peers[0].WithState(func(now time.Duration, s *nodestats.State) { same = s.MatchesDigest(now, before) })
	if !same {
		t.Error("nonsense changed the state")
	}
	c.peers[1].Observe("n", 1, "more", 1, 1, nodestats.Served)
	await(t, "news still come", func() bool {
		return slices.ContainsFunc(c.peers[0].Views(), func(v nodestats.View) bool { return v.Class == "more" })
	})
}

// Observing never waits: with the state held by another and the buffer full, outcomes are counted as lost.
func TestObservingNeverWaits(t *testing.T) {
	c := gather(t, 1, 0)
	p := c.peers[0]
	p.WithState(func(time.Duration, *nodestats.State) {
		for range bufferSize + 10 {
			p.Observe("n", 1, "c", 1, 1, nodestats.Served)
		}
	})
	if n := p.Counts(); n.DroppedOutcomes != 10 || n.Outcomes != bufferSize {
		t.Errorf("%d lost, %d taken", n.DroppedOutcomes, n.Outcomes)
	}
	if n := testing.AllocsPerRun(1000, func() { p.Observe("n", 1, "c", 1, 1, nodestats.Served) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Addresses that only lead there by another way: as with links between processes. Messages are encrypted here.
func TestAnotherWayToAnAddress(t *testing.T) {
	defer gone(t)
	var ps []*Cluster
	start := func(name, advertise string, seeds []string, via map[string]string) *Cluster {
		p, err := Start(Options{Name: name, Incarnation: 1, Listen: "127.0.0.1:0", Advertise: advertise, Seeds: seeds, AddressOverrides: via,
			Interval: 20 * time.Millisecond, Burst: 8, Key: []byte("0123456789abcdef"), State: nodestats.Defaults(), Log: quiet()})
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
	a.Observe("n", 1, "c", 1, 1, nodestats.Served)
	await(t, "the news of a at b", func() bool { n, _ := served(b); return n > 0.5 && same(ps...) })
	if _, err := Start(Options{Name: "c", Listen: "nowhere", State: nodestats.Defaults(), Log: quiet()}); err == nil {
		t.Error("it listens nowhere")
	}
}

func BenchmarkObserve(b *testing.B) {
	p, err := Start(Options{Name: "p", Listen: "127.0.0.1:0", Interval: time.Hour, Burst: 8, State: nodestats.Defaults(), Log: quiet()})
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
		p.Observe("n", 1, "c", 1, 1, nodestats.Served)
	}
	if n := p.Counts().DroppedOutcomes; n > 0 {
		b.Errorf("%d lost", n)
	}
}
