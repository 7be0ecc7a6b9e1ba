// Package addresses is the experiment on several addresses for one storage node: every fault of
// the stand-in on the preferred address, with three addresses and with that one alone, which is
// the earlier behaviour. Each scenario is a scheduler with two stand-in nodes of its own, and
// clients that send at a fixed rate whatever comes back; the fault begins after a quiet second.
package addresses

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/exampleconfig"
	"wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/testkit/workload"
	"wheatsaddle/policy"
)

// Options are the experiment's.
type Options struct {
	Seed   uint64
	Rounds int           // of each scenario, for the spread
	For    time.Duration // under the fault
	Rate   float64       // requests a second to the node at fault
	Log    logrus.FieldLogger
}

const (
	quiet       = time.Second // before the fault
	settle      = time.Second // after which connects are held against those of no fault
	connAnswers = 50          // the stand-in ends a connection after so many, so that connects never stop
	service     = 4 * time.Millisecond
	otherShare  = 0.25 // of the rate goes to the second node, which is never at fault
)

// Classes are those of the examples, with their shares, aims and deadlines.
var Classes = classes()

func classes() (list []Class) {
	for _, c := range workload.Default().Classes {
		list = append(list, Class{Name: c.Name, Share: c.Share, Aim: span(c.Aim), Deadline: span(c.Deadline), Worth: c.Worth, Keyed: c.Keyed})
	}
	return list
}

// Class is one class of requests.
type Class struct {
	Name          string
	Share         float64
	Aim, Deadline time.Duration
	Worth         float64
	Keyed         bool
}

// plan is the one of all requests.
var plan = Settings().Plans[0].Name

// keyMemory is how long the nodes drop a repeat of a key, and so the longest span in which a
// keyed class may be repeated.
var keyMemory = func() (most time.Duration) {
	for _, k := range Settings().Classes {
		most = max(most, span(k.DedupWindow))
	}
	return most
}()

// Row is one fault and class, with several addresses or one.
type Row struct {
	Fault     string         `json:"fault"`
	Class     string         `json:"class"`
	Addresses int            `json:"addresses"`
	Requests  int            `json:"requests"`
	Served    float64        `json:"served"` // share of the requests, median of the rounds
	Least     float64        `json:"served_least"`
	InAim     float64        `json:"served_in_aim"`
	Failed    float64        `json:"failed"` // share that got no service, refusals among them
	Ends      map[string]int `json:"ends"`   // requests by how they ended, over the rounds
	P50       float64        `json:"p50_ms"`
	P99       float64        `json:"p99_ms"`
	P50Added  float64        `json:"p50_added_ms"` // over no fault with as many addresses
	P99Added  float64        `json:"p99_added_ms"`
	MostRuns  int            `json:"executions_most"` // of one request; of a keyed class of one key
	Spread    float64        `json:"repeat_span_ms"`  // longest from a request's first arrival at a node to its last
	Connects  float64        `json:"connects_per_request"`
	Later     float64        `json:"connects_per_request_after_first_second"`
}

// Report is the experiment's outcome.
type Report struct {
	Seed   uint64   `json:"seed"`
	Rounds int      `json:"rounds"`
	Span   float64  `json:"fault_seconds"`
	Rate   float64  `json:"rate"`
	Rows   []Row    `json:"rows"`
	Missed []string `json:"aims_missed"`
}

// scenario is one fault with one number of addresses, in one round.
type scenario struct {
	fault     node.Fault
	addresses int
	round     int
}

// tally is what one scenario saw of one class.
type tally struct {
	sent, served, inAim int
	ends                [client.OutcomeCount]int
	times               *hdrhistogram.Histogram // of those served, microseconds
	mostRuns            int
	spread              time.Duration
}

type outcome struct {
	classes         map[string]*tally
	connects, later int // to the node at fault
	after           int // requests sent after the first second
}

// Run plays all scenarios, those of one round at the same time.
func Run(ctx context.Context, opt Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "loadtest")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	faults := append([]node.Fault{node.None}, node.Faults()...)
	got := map[scenario]*outcome{}
	for round := range opt.Rounds {
		opt.Log.WithFields(logrus.Fields{"round": round + 1, "of": opt.Rounds, "scenarios": 2 * len(faults)}).Info("playing")
		var mu sync.Mutex
		var wg sync.WaitGroup
		var first error
		for _, f := range faults {
			for _, n := range []int{3, 1} {
				sc := scenario{f, n, round}
				wg.Go(func() {
					o, err := play(ctx, opt, sc, filepath.Join(dir, fmt.Sprintf("%d-%d-%d", f, n, round)))
					mu.Lock()
					defer mu.Unlock()
					if got[sc] = o; err != nil && first == nil {
						first = fmt.Errorf("%v, %d addresses: %w", f, n, err)
					}
				})
			}
		}
		wg.Wait()
		if first != nil {
			return nil, first
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	return report(opt, faults, got), nil
}

// Settings are the module's in these scenarios: the examples', for one scheduler and two nodes.
func Settings() policy.Settings {
	s, err := config.Settings(gjson.ParseBytes(exampleconfig.Settings))
	if err != nil {
		panic("the example settings: " + err.Error()) // they are part of the program
	}
	s.Shards, s.MeanUnits, s.Plans = 2, 2, s.Plans[:1]
	return s
}

func span(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// rig is one scheduler with its two nodes.
type rig struct {
	nodes [2]*node.Node
	at    []address.Addr // of the first, as preferred
	core  *core.Core
	srv   *httpfront.Server
	pool  *client.Pool
}

func newRig(seed uint64, addresses int, dir string) (*rig, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	r := &rig{}
	lists := [2][]address.Addr{}
	for i := range r.nodes {
		r.nodes[i] = node.New(node.Options{Name: fmt.Sprint("s-", i), Shard: i, Workers: 16, QueueLimit: 64, MaxResponsesPerConn: connAnswers,
			ServiceTime: func(*fasthttp.Request) time.Duration { return service }})
		texts := []string{"unix:" + filepath.Join(dir, fmt.Sprint(i)), "[::1]:0", "127.0.0.1:0"}
		for _, text := range texts[:addresses] {
			a, err := r.nodes[i].Listen(text)
			if err != nil && strings.HasPrefix(text, "[") {
				continue // a machine without IPv6
			}
			if err != nil {
				return nil, err
			}
			lists[i] = append(lists[i], a)
		}
	}
	r.at = lists[0]
	set, log := Settings(), logrus.New()
	log.SetLevel(logrus.PanicLevel)
	safe := map[string]bool{}
	for _, k := range set.Classes {
		safe[k.Name] = k.Effect == policy.Idempotent
	}
	d := &httpfront.Dialer{ConnectTimeout: 250 * time.Millisecond, ConnIdle: 15 * time.Second, MaxConns: 400, Idempotent: safe,
		Addresses: &httpfront.AddressConfig{Seed: seed}}
	var err error
	if r.core, err = core.New(core.Options{Settings: set, Seed: int64(seed), NewNodeClient: d.Connect, Log: log}); err != nil {
		return nil, err
	}
	news := core.ListUpdate{Kind: policy.ListReceived}
	for i, list := range lists {
		news.Nodes = append(news.Nodes, core.Node{Node: policy.Node{ID: fmt.Sprint("s-", i), Shard: i, Weight: 1}, Addresses: list})
	}
	r.core.UpdateList(news)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.srv = httpfront.NewServer(r.core, set, 2000, log)
	go func() { _ = r.srv.Serve(ln, 2000) }()
	r.pool = &client.Pool{Address: ln.Addr().String()}
	return r, nil
}

func (r *rig) close() {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	r.pool.Close()
	_ = r.srv.Shutdown(ctx)
	r.core.Stop()
	for _, n := range r.nodes {
		n.Close()
	}
}

func (r *rig) accepted() (n int) {
	for _, a := range r.at {
		n += r.nodes[0].AcceptedConns(a)
	}
	return n
}

// play runs one scenario.
func play(ctx context.Context, opt Options, sc scenario, dir string) (*outcome, error) {
	r, err := newRig(opt.Seed+uint64(sc.round), sc.addresses, dir)
	if err != nil {
		return nil, err
	}
	defer r.close()
	o := &outcome{classes: map[string]*tally{}}
	for _, c := range Classes {
		o.classes[c.Name] = &tally{times: hdrhistogram.New(1, 60_000_000, 3)}
	}
	rng := rand.New(rand.NewPCG(opt.Seed, uint64(sc.round)))
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	end := quiet + opt.For
	on := false
	before, settled := 0, -1
	for n, at := 0, time.Duration(0); at < end; n++ {
		at += time.Duration(rng.ExpFloat64() / (opt.Rate * (1 + otherShare)) * float64(time.Second))
		due := start.Add(at)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Until(due)):
		}
		if at >= quiet && !on {
			on = true
			before = r.accepted()
			if err := r.nodes[0].SetFault(r.at[0], sc.fault); err != nil {
				return nil, err
			}
		}
		if at >= quiet+settle && settled < 0 {
			settled = r.accepted()
		}
		c, m := draw(rng, n)
		counts := on && m.Shard == 0 && at < end
		if counts && settled >= 0 {
			o.after++
		}
		wg.Go(func() {
			a := r.pool.Do(m, due)
			if !counts {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			t := o.classes[c.Name]
			t.sent++
			t.ends[a.Outcome]++
			if a.Outcome != client.Served {
				return
			}
			took := a.Ended.Sub(due)
			t.served++
			if took <= c.Aim {
				t.inAim++
			}
			_ = t.times.RecordValue(took.Microseconds())
		})
	}
	all := r.accepted()
	o.connects, o.later = all-before, all-max(settled, before)
	wg.Wait()
	r.runs(o)
	return o, nil
}

// draw makes the n-th request.
func draw(rng *rand.Rand, n int) (Class, *client.Message) {
	x, k := rng.Float64(), 0
	for x -= Classes[k].Share; x >= 0 && k < len(Classes)-1; x -= Classes[k].Share {
		k++
	}
	c := Classes[k]
	m := &client.Message{ID: fmt.Sprintf("%s-%d", c.Name, n), Class: c.Name, Plan: plan, Extent: fmt.Sprintf("%016x", rng.Uint64()),
		Volume: fmt.Sprintf("%016x", 1+rng.IntN(20)), Units: float64(1 + rng.IntN(4)), Hosts: 1, Deadline: c.Deadline}
	if rng.Float64() < otherShare/(1+otherShare) {
		m.Shard = 1
	}
	if c.Keyed {
		m.Write, m.Key, m.Body = true, "key-"+m.ID, []byte("a new record")
	}
	return c, m
}

// runs counts executions at the node at fault.
func (r *rig) runs(o *outcome) {
	r.nodes[0].EachRequest(func(id string, all []node.Arrival) {
		at := strings.LastIndexByte(id, '-')
		t := o.classes[id[:at]]
		ran := 0
		for _, a := range all {
			if a.Executed {
				ran++
			}
		}
		t.mostRuns = max(t.mostRuns, ran)
		t.spread = max(t.spread, all[len(all)-1].At.Sub(all[0].At))
	})
	for _, c := range Classes {
		if c.Keyed {
			_, byKey := r.nodes[0].MaxExecutions()
			o.classes[c.Name].mostRuns = max(o.classes[c.Name].mostRuns, byKey)
		}
	}
}

// report makes the rows: medians over the rounds, and the worst where it is the worst that counts.
func report(opt Options, faults []node.Fault, got map[scenario]*outcome) *Report {
	rep := &Report{Seed: opt.Seed, Rounds: opt.Rounds, Span: opt.For.Seconds(), Rate: opt.Rate, Missed: []string{}}
	none := map[string]Row{}
	for _, f := range faults {
		for _, n := range []int{3, 1} {
			for _, c := range Classes {
				row := Row{Fault: f.String(), Class: c.Name, Addresses: n, Least: math.Inf(1), Ends: map[string]int{}}
				var served, inAim, p50, p99, connects []float64
				later, after := 0, 0 // over all rounds: one connect is several hundredths of a round's
				for round := range opt.Rounds {
					o := got[scenario{f, n, round}]
					t := o.classes[c.Name]
					sent := max(1, float64(t.sent))
					share := float64(t.served) / sent
					row.Requests += t.sent
					for end, k := range t.ends {
						if k > 0 {
							row.Ends[client.Outcome(end).String()] += k
						}
					}
					row.Least = min(row.Least, share)
					served, inAim = append(served, share), append(inAim, float64(t.inAim)/sent)
					if t.served > 0 {
						p50 = append(p50, float64(t.times.ValueAtQuantile(50))/1000)
						p99 = append(p99, float64(t.times.ValueAtQuantile(99))/1000)
					}
					row.MostRuns = max(row.MostRuns, t.mostRuns)
					row.Spread = max(row.Spread, ms(t.spread))
					whole := 0
					for _, x := range o.classes {
						whole += x.sent
					}
					connects = append(connects, float64(o.connects)/max(1, float64(whole)))
					later, after = later+o.later, after+o.after
				}
				row.Served, row.InAim, row.P50, row.P99 = median(served), median(inAim), median(p50), median(p99)
				row.Connects, row.Later = median(connects), float64(later)/max(1, float64(after))
				row.Failed = 1 - row.Served
				key := fmt.Sprint(c.Name, n)
				if f == node.None {
					none[key] = row
				}
				if len(p50) > 0 {
					row.P50Added, row.P99Added = row.P50-none[key].P50, row.P99-none[key].P99
				}
				rep.Rows = append(rep.Rows, row)
				if n == 3 {
					rep.judge(c, row, none[key])
				}
			}
		}
	}
	return rep
}

// The aims: with one of three addresses at fault.
const (
	servedAim   = 0.99 // of what is served with no fault
	connectsAim = 1.1  // times the connects of no fault, after the first second
)

func (rep *Report) judge(c Class, row, none Row) {
	miss := func(form string, args ...any) {
		rep.Missed = append(rep.Missed, row.Fault+", "+row.Class+": "+fmt.Sprintf(form, args...))
	}
	if row.Served < servedAim*none.Served {
		miss("served %.4f of the requests, aim %.4f", row.Served, servedAim*none.Served)
	}
	if c.Keyed && row.MostRuns > 1 {
		miss("a key ran %d times", row.MostRuns)
	}
	if c.Keyed && row.Spread > ms(keyMemory) {
		miss("a request came again %.0f ms after it first came", row.Spread)
	}
	if row.Later > connectsAim*none.Later {
		miss("%.4f connects a request after the first second, aim %.4f", row.Later, connectsAim*none.Later)
	}
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	if n := len(s); n%2 == 0 {
		return (s[n/2-1] + s[n/2]) / 2
	}
	return s[len(s)/2]
}
