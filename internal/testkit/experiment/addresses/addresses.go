// Package addresses is an experiment on storage nodes with several addresses. It applies every fault of the fake node to the
// preferred address, once with three addresses and once with this address only, which is the earlier behaviour of the
// scheduler. Each scenario has its own scheduler, two fake nodes, and clients that send at a fixed rate regardless of the
// responses. The fault begins after one second without a fault.
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

// Options configure the experiment.
type Options struct {
	Seed          uint64
	Rounds        int           // repetitions of each scenario; the report has medians and extremes over them
	FaultDuration time.Duration // duration of the fault
	Rate          float64       // requests per second to the faulty node
	Log           logrus.FieldLogger
}

const (
	baselineDuration    = time.Second // before the fault
	settleDuration      = time.Second // time after the start of the fault from which connects are compared with the baseline
	maxResponsesPerConn = 50          // the fake node closes a connection after so many responses, so that connects continue
	serviceTime         = 4 * time.Millisecond
	healthyNodeShare    = 0.25 // rate of requests to the second node, which has no fault, relative to Options.Rate
)

// Classes are the request classes of the default workload.
var Classes = exampleClasses()

// exampleClasses converts the classes of the default workload.
func exampleClasses() (classes []Class) {
	for _, c := range workload.Default().Classes {
		classes = append(classes, Class{Name: c.Name, Share: c.Share, LatencyObjective: fromMillis(c.Aim), Deadline: fromMillis(c.Deadline), PriorityWeight: c.Worth, Keyed: c.Keyed})
	}
	return classes
}

// Class is a class of requests.
type Class struct {
	Name                       string
	Share                      float64
	LatencyObjective, Deadline time.Duration
	PriorityWeight             float64
	Keyed                      bool
}

// planName is the plan of all requests.
var planName = Settings().Plans[0].Name

// maxDedupWindow is the longest time for which nodes drop repeats of a key. A request of a keyed class must not be repeated
// later than that.
var maxDedupWindow = func() (longest time.Duration) {
	for _, k := range Settings().Classes {
		longest = max(longest, fromMillis(k.DedupWindow))
	}
	return longest
}()

// Row has the results of one fault, class and number of addresses. Where nothing else is said, a value is the median over the
// rounds.
type Row struct {
	Fault                     string         `json:"fault"`
	Class                     string         `json:"class"`
	Addresses                 int            `json:"addresses"`
	Requests                  int            `json:"requests"`      // number over all rounds
	Served                    float64        `json:"served"`        // share of the requests
	MinServed                 float64        `json:"served_least"`  // smallest share of a round
	WithinObjective           float64        `json:"served_in_aim"` // share of the requests
	Failed                    float64        `json:"failed"`        // share of the requests that were not served, including rejected ones
	Outcomes                  map[string]int `json:"ends"`          // number of requests by outcome, over all rounds
	P50                       float64        `json:"p50_ms"`
	P99                       float64        `json:"p99_ms"`
	P50Added                  float64        `json:"p50_added_ms"` // compared with the same number of addresses and no fault
	P99Added                  float64        `json:"p99_added_ms"`
	MaxExecutions             int            `json:"executions_most"` // most executions of one request ID in a round; in keyed classes, also of one key
	MaxRepeatPeriod           float64        `json:"repeat_span_ms"`  // longest time in any round from the first to the last arrival of a request at the faulty node
	ConnectsPerRequest        float64        `json:"connects_per_request"`
	SettledConnectsPerRequest float64        `json:"connects_per_request_after_first_second"` // ratio of the sums over all rounds
}

// Report is the result of the experiment.
type Report struct {
	Seed         uint64   `json:"seed"`
	Rounds       int      `json:"rounds"`
	FaultSeconds float64  `json:"fault_seconds"`
	Rate         float64  `json:"rate"`
	Rows         []Row    `json:"rows"`
	Missed       []string `json:"aims_missed"`
}

// scenario is a combination of fault and number of addresses, in one round.
type scenario struct {
	fault     node.Fault
	addresses int
	round     int
}

// classCounts are the results of one class in one scenario. They cover only requests to the faulty node, and, except for
// maxExecutions and maxRepeatPeriod, only those sent after the start of the fault.
type classCounts struct {
	sent, served, withinObjective int
	outcomes                      [client.OutcomeCount]int
	latencies                     *hdrhistogram.Histogram // of served requests, in microseconds
	maxExecutions                 int
	maxRepeatPeriod               time.Duration
}

// scenarioResult has the results of one scenario.
type scenarioResult struct {
	classes                   map[string]*classCounts
	connects, settledConnects int // connections accepted by the faulty node, in all and after settleDuration
	settledRequests           int // requests sent after settleDuration
}

// Run runs all scenarios, those of one round concurrently.
func Run(ctx context.Context, opt Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "loadtest")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	faults := append([]node.Fault{node.None}, node.Faults()...)
	results := map[scenario]*scenarioResult{}
	for round := range opt.Rounds {
		opt.Log.WithFields(logrus.Fields{"round": round + 1, "of": opt.Rounds, "scenarios": 2 * len(faults)}).Info("running the scenarios of one round")
		var mu sync.Mutex
		var wg sync.WaitGroup
		var firstErr error
		for _, fault := range faults {
			for _, addresses := range []int{3, 1} {
				sc := scenario{fault, addresses, round}
				wg.Go(func() {
					result, err := runScenario(ctx, opt, sc, filepath.Join(dir, fmt.Sprintf("%d-%d-%d", fault, addresses, round)))
					mu.Lock()
					defer mu.Unlock()
					if results[sc] = result; err != nil && firstErr == nil {
						firstErr = fmt.Errorf("scenario with fault %v and %d addresses: %w", fault, addresses, err)
					}
				})
			}
		}
		wg.Wait()
		if firstErr != nil {
			return nil, firstErr
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	return newReport(opt, faults, results), nil
}

// Settings returns the example settings, changed for one scheduler, two nodes and a single plan.
func Settings() policy.Settings {
	s, err := config.Settings(gjson.ParseBytes(exampleconfig.Settings))
	if err != nil {
		panic("invalid example settings: " + err.Error()) // they are embedded in the program
	}
	s.Shards, s.MeanUnits, s.Plans = 2, 2, s.Plans[:1]
	return s
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fixture is a scheduler with its HTTP front, two fake nodes and a pool of client connections.
type fixture struct {
	nodes     [2]*node.Node
	addresses []address.Addr // of nodes[0], in order of preference
	core      *core.Core
	server    *httpfront.Server
	pool      *client.Pool
}

// newFixture starts the scheduler and its nodes. Each node has the given number of addresses, one less without IPv6.
func newFixture(seed uint64, addresses int, dir string) (*fixture, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f := &fixture{}
	lists := [2][]address.Addr{}
	for i := range f.nodes {
		f.nodes[i] = node.New(node.Options{Name: fmt.Sprint("s-", i), Shard: i, Workers: 16, QueueLimit: 64, MaxResponsesPerConn: maxResponsesPerConn,
			ServiceTime: func(*fasthttp.Request) time.Duration { return serviceTime }})
		texts := []string{"unix:" + filepath.Join(dir, fmt.Sprint(i)), "[::1]:0", "127.0.0.1:0"}
		for _, text := range texts[:addresses] {
			a, err := f.nodes[i].Listen(text)
			if err != nil && strings.HasPrefix(text, "[") {
				continue // the machine has no IPv6
			}
			if err != nil {
				return nil, err
			}
			lists[i] = append(lists[i], a)
		}
	}
	f.addresses = lists[0]
	settings, log := Settings(), logrus.New()
	log.SetLevel(logrus.PanicLevel)
	idempotent := map[string]bool{}
	for _, k := range settings.Classes {
		idempotent[k.Name] = k.Effect == policy.Idempotent
	}
	dialer := &httpfront.Dialer{ConnectTimeout: 250 * time.Millisecond, ConnIdle: 15 * time.Second, MaxConns: 400, Idempotent: idempotent,
		Addresses: &httpfront.AddressConfig{Seed: seed}}
	var err error
	if f.core, err = core.New(core.Options{Settings: settings, Seed: int64(seed), NewNodeClient: dialer.Connect, Log: log}); err != nil {
		return nil, err
	}
	update := core.ListUpdate{Kind: policy.ListReceived}
	for i, list := range lists {
		update.Nodes = append(update.Nodes, core.Node{Node: policy.Node{ID: fmt.Sprint("s-", i), Shard: i, Weight: 1}, Addresses: list})
	}
	f.core.UpdateList(update)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.server = httpfront.NewServer(f.core, settings, 2000, log)
	go func() { _ = f.server.Serve(ln, 2000) }()
	f.pool = &client.Pool{Address: ln.Addr().String()}
	return f, nil
}

func (f *fixture) close() {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	f.pool.Close()
	_ = f.server.Shutdown(ctx)
	f.core.Stop()
	for _, n := range f.nodes {
		n.Close()
	}
}

// acceptedConns returns the number of connections that the faulty node has accepted.
func (f *fixture) acceptedConns() (n int) {
	for _, a := range f.addresses {
		n += f.nodes[0].AcceptedConns(a)
	}
	return n
}

// runScenario runs one scenario and returns its results.
func runScenario(ctx context.Context, opt Options, sc scenario, dir string) (*scenarioResult, error) {
	f, err := newFixture(opt.Seed+uint64(sc.round), sc.addresses, dir)
	if err != nil {
		return nil, err
	}
	defer f.close()
	result := &scenarioResult{classes: map[string]*classCounts{}}
	for _, class := range Classes {
		result.classes[class.Name] = &classCounts{latencies: hdrhistogram.New(1, 60_000_000, 3)}
	}
	rng := rand.New(rand.NewPCG(opt.Seed, uint64(sc.round)))
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	end := baselineDuration + opt.FaultDuration
	faultActive := false
	connsBefore, connsSettled := 0, -1
	for n, at := 0, time.Duration(0); at < end; n++ {
		at += time.Duration(rng.ExpFloat64() / (opt.Rate * (1 + healthyNodeShare)) * float64(time.Second))
		due := start.Add(at)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Until(due)):
		}
		if at >= baselineDuration && !faultActive {
			faultActive = true
			connsBefore = f.acceptedConns()
			if err := f.nodes[0].SetFault(f.addresses[0], sc.fault); err != nil {
				return nil, err
			}
		}
		if at >= baselineDuration+settleDuration && connsSettled < 0 {
			connsSettled = f.acceptedConns()
		}
		class, message := newRequest(rng, n)
		counted := faultActive && message.Shard == 0 && at < end
		if counted && connsSettled >= 0 {
			result.settledRequests++
		}
		wg.Go(func() {
			a := f.pool.Do(message, due)
			if !counted {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			counts := result.classes[class.Name]
			counts.sent++
			counts.outcomes[a.Outcome]++
			if a.Outcome != client.Served {
				return
			}
			took := a.Ended.Sub(due)
			counts.served++
			if took <= class.LatencyObjective {
				counts.withinObjective++
			}
			_ = counts.latencies.RecordValue(took.Microseconds())
		})
	}
	connsAfter := f.acceptedConns()
	result.connects, result.settledConnects = connsAfter-connsBefore, connsAfter-max(connsSettled, connsBefore)
	wg.Wait()
	f.countExecutions(result)
	return result, nil
}

// newRequest returns the n-th request, with a random class, shard, extent, volume and size.
func newRequest(rng *rand.Rand, n int) (Class, *client.Message) {
	remaining, k := rng.Float64(), 0
	for remaining -= Classes[k].Share; remaining >= 0 && k < len(Classes)-1; remaining -= Classes[k].Share {
		k++
	}
	class := Classes[k]
	message := &client.Message{ID: fmt.Sprintf("%s-%d", class.Name, n), Class: class.Name, Plan: planName, Extent: fmt.Sprintf("%016x", rng.Uint64()),
		Volume: fmt.Sprintf("%016x", 1+rng.IntN(20)), Units: float64(1 + rng.IntN(4)), Hosts: 1, Deadline: class.Deadline}
	if rng.Float64() < healthyNodeShare/(1+healthyNodeShare) {
		message.Shard = 1
	}
	if class.Keyed {
		message.Write, message.Key, message.Body = true, "key-"+message.ID, []byte("a new record")
	}
	return class, message
}

// countExecutions records by class how often the faulty node executed a request, and the time from the first to the last
// arrival of a request.
func (f *fixture) countExecutions(result *scenarioResult) {
	f.nodes[0].EachRequest(func(id string, all []node.Arrival) {
		at := strings.LastIndexByte(id, '-')
		counts := result.classes[id[:at]]
		executions := 0
		for _, a := range all {
			if a.Executed {
				executions++
			}
		}
		counts.maxExecutions = max(counts.maxExecutions, executions)
		counts.maxRepeatPeriod = max(counts.maxRepeatPeriod, all[len(all)-1].At.Sub(all[0].At))
	})
	for _, c := range Classes {
		if c.Keyed {
			_, byKey := f.nodes[0].MaxExecutions()
			result.classes[c.Name].maxExecutions = max(result.classes[c.Name].maxExecutions, byKey)
		}
	}
}

// newReport computes the rows from the results of all rounds.
func newReport(opt Options, faults []node.Fault, results map[scenario]*scenarioResult) *Report {
	rep := &Report{Seed: opt.Seed, Rounds: opt.Rounds, FaultSeconds: opt.FaultDuration.Seconds(), Rate: opt.Rate, Missed: []string{}}
	baseline := map[string]Row{}
	for _, fault := range faults {
		for _, addresses := range []int{3, 1} {
			for _, class := range Classes {
				row := Row{Fault: fault.String(), Class: class.Name, Addresses: addresses, MinServed: math.Inf(1), Outcomes: map[string]int{}}
				var served, withinObjective, p50, p99, connects []float64
				settledConnects, settledRequests := 0, 0 // sums over all rounds: one connect alone is several percent of a round's
				for round := range opt.Rounds {
					result := results[scenario{fault, addresses, round}]
					counts := result.classes[class.Name]
					sent := max(1, float64(counts.sent))
					servedShare := float64(counts.served) / sent
					row.Requests += counts.sent
					for outcome, k := range counts.outcomes {
						if k > 0 {
							row.Outcomes[client.Outcome(outcome).String()] += k
						}
					}
					row.MinServed = min(row.MinServed, servedShare)
					served, withinObjective = append(served, servedShare), append(withinObjective, float64(counts.withinObjective)/sent)
					if counts.served > 0 {
						p50 = append(p50, float64(counts.latencies.ValueAtQuantile(50))/1000)
						p99 = append(p99, float64(counts.latencies.ValueAtQuantile(99))/1000)
					}
					row.MaxExecutions = max(row.MaxExecutions, counts.maxExecutions)
					row.MaxRepeatPeriod = max(row.MaxRepeatPeriod, toMillis(counts.maxRepeatPeriod))
					requests := 0
					for _, x := range result.classes {
						requests += x.sent
					}
					connects = append(connects, float64(result.connects)/max(1, float64(requests)))
					settledConnects, settledRequests = settledConnects+result.settledConnects, settledRequests+result.settledRequests
				}
				row.Served, row.WithinObjective, row.P50, row.P99 = median(served), median(withinObjective), median(p50), median(p99)
				row.ConnectsPerRequest, row.SettledConnectsPerRequest = median(connects), float64(settledConnects)/max(1, float64(settledRequests))
				row.Failed = 1 - row.Served
				key := fmt.Sprint(class.Name, addresses)
				if fault == node.None {
					baseline[key] = row
				}
				if len(p50) > 0 {
					row.P50Added, row.P99Added = row.P50-baseline[key].P50, row.P99-baseline[key].P99
				}
				rep.Rows = append(rep.Rows, row)
				if addresses == 3 {
					rep.checkTargets(class, row, baseline[key])
				}
			}
		}
	}
	return rep
}

// Targets for a fault of one of three addresses, relative to the results without a fault.
const (
	minServedRatio   = 0.99 // served share of the requests
	maxConnectsRatio = 1.1  // connects per request after settleDuration
)

// checkTargets adds the targets that a row misses to the report.
func (rep *Report) checkTargets(class Class, row, baseline Row) {
	addMissed := func(format string, args ...any) {
		rep.Missed = append(rep.Missed, row.Fault+", "+row.Class+": "+fmt.Sprintf(format, args...))
	}
	if row.Served < minServedRatio*baseline.Served {
		addMissed("served %.4f of the requests, aim %.4f", row.Served, minServedRatio*baseline.Served)
	}
	if class.Keyed && row.MaxExecutions > 1 {
		addMissed("a key was executed %d times", row.MaxExecutions)
	}
	if class.Keyed && row.MaxRepeatPeriod > toMillis(maxDedupWindow) {
		addMissed("a request arrived again %.0f ms after its first arrival", row.MaxRepeatPeriod)
	}
	if row.SettledConnectsPerRequest > maxConnectsRatio*baseline.SettledConnectsPerRequest {
		addMissed("%.4f connects per request after the first second, aim %.4f", row.SettledConnectsPerRequest, maxConnectsRatio*baseline.SettledConnectsPerRequest)
	}
}

// median returns the median of v, or 0 if v is empty.
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
