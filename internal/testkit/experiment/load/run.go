// Package load sends a schedule of requests to schedulers in an open loop and records the outcome of each:
// a late answer delays no later send. Latency is measured from the time a request was due; the time from
// its actual send is recorded separately. Package internal/testkit/loadvalidity judges from the recorded lateness
// of the load generator whether a run is valid.
//
// Invariants: each arrival of the schedule is either sent or counted as not sent, with the reason; a request
// has at most one retry, which is counted with its first attempt; the merged results of several workers equal
// those of one worker.
package load

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/loadvalidity"
	"wheatsaddle/internal/testkit/workload"
)

// Source yields arrivals in order of time.
type Source interface {
	Next() (workload.Request, bool)
}

// Options are the options of a run.
type Options struct {
	Shape           workload.Shape
	Source          Source
	Pools           []*client.Pool // one for each scheduler; a request's volume and host select one
	RequestIDPrefix string         // prefix of the request ids
	MaxOpen         int            // limit on open requests; arrivals above it are not sent, but counted
	Retry           bool           // clients retry a rejected or reset request once
	RetryWait       time.Duration  // before a retry, if the answer has no Retry-After
	Bounds          loadvalidity.Bounds
	Worker          int // index of this worker: it sends the requests whose Seq modulo Workers is the index
	Workers         int
	Progress        func(at time.Duration, sent, open int64) // called about once a second of the schedule; may be nil
}

// UnsentAtOpenLimit is the reason under which arrivals above Options.MaxOpen are counted.
const UnsentAtOpenLimit = "open requests"

const (
	pauseCheckInterval = time.Millisecond
	pauseCheckSlack    = 10 * time.Millisecond
	minRetryTime       = 20 * time.Millisecond // time left until the deadline below which there is no retry
)

// runner is the state of one run.
type runner struct {
	opt             Options
	start           time.Time
	open            atomic.Int64
	sent            atomic.Int64
	wg              sync.WaitGroup
	mu              sync.Mutex
	res             *Results
	newObjectShards sync.Map // extent of a new object to its shard, from the answer to its write
}

// Run sends the whole schedule and waits for the last answer.
func Run(ctx context.Context, opt Options) (*Results, error) {
	if opt.Workers == 0 {
		opt.Workers = 1
	}
	if len(opt.Pools) == 0 || opt.MaxOpen < 1 || opt.Worker < 0 || opt.Worker >= opt.Workers {
		return nil, fmt.Errorf("load: at least one scheduler, an open-request limit of at least 1 and a worker index below %d are needed", opt.Workers)
	}
	generatorStats, err := loadvalidity.New(opt.Bounds)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	r := &runner{opt: opt, start: time.Now(), res: NewResults(opt.Shape, generatorStats)}
	watching, stop := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { r.watchPauses(watching) })
	err = r.send(ctx)
	r.wg.Wait()
	stop()
	watch.Wait()
	r.res.Took = time.Since(r.start)
	return r.res, err
}

// send starts each arrival's request at its time.
func (r *runner) send(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextProgress := time.Duration(0)
	for {
		q, ok := r.opt.Source.Next()
		if !ok {
			return nil
		}
		if r.opt.Progress != nil && q.At >= nextProgress {
			r.opt.Progress(q.At, r.sent.Load(), r.open.Load())
			nextProgress = q.At + time.Second
		}
		if int(q.Seq%uint64(r.opt.Workers)) != r.opt.Worker {
			continue
		}
		if wait := time.Until(r.start.Add(q.At)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if r.open.Load() >= int64(r.opt.MaxOpen) {
			r.mu.Lock()
			r.res.Generator.RecordUnsent(UnsentAtOpenLimit)
			r.res.recordUnsent(&q)
			r.mu.Unlock()
			continue
		}
		due, sent := q.At, time.Since(r.start)
		r.mu.Lock()
		r.res.Generator.RecordSend(due, sent)
		r.mu.Unlock()
		r.sent.Add(1)
		r.open.Add(1)
		r.wg.Go(func() {
			defer r.open.Add(-1)
			r.sendWithRetry(&q)
		})
	}
}

// sendWithRetry sends a request, and retries it once if it is rejected or reset.
func (r *runner) sendWithRetry(q *workload.Request) {
	m := r.newMessage(q)
	due := r.start.Add(q.At)
	pool := r.opt.Pools[(q.Volume+q.Host)%len(r.opt.Pools)]
	a := pool.Do(m, due)
	attempts := 1
	if r.opt.Retry && (a.Outcome == client.Rejected || a.Outcome == client.Reset) {
		wait := r.opt.RetryWait
		if a.RetryAfter > 0 {
			wait = a.RetryAfter
		}
		retryAt := time.Now().Add(wait)
		if left := due.Add(m.Deadline).Sub(retryAt); left >= minRetryTime {
			time.Sleep(wait)
			m.ID, m.Retry, m.Deadline = m.ID+"r", true, left
			b := pool.Do(m, retryAt)
			b.Sent, b.RetriedOnNewConn = a.Sent, a.RetriedOnNewConn || b.RetriedOnNewConn // the service time starts at the first attempt
			a, attempts = b, 2
		}
	}
	if a.Outcome == client.Served && q.Shard < 0 && q.CreatedBy == 0 {
		r.newObjectShards.Store(q.Extent, parseShard(a.Body))
	}
	r.mu.Lock()
	r.res.recordAnswer(q, &a, due, attempts)
	r.mu.Unlock()
}

// newMessage builds the message of a request. A read of a new object goes to the shard that the answer to its write
// named; if that is not known yet, the shard is derived from the extent.
func (r *runner) newMessage(q *workload.Request) *client.Message {
	s := &r.opt.Shape
	c := &s.Classes[q.Class]
	m := &client.Message{ID: fmt.Sprintf("%s-%d", r.opt.RequestIDPrefix, q.Seq), Class: c.Name, Plan: s.Plans[q.Plan].Name,
		Extent: fmt.Sprintf("%016x", q.Extent), Volume: fmt.Sprintf("%016x", q.Volume+1), Units: float64(q.Units), Shard: q.Shard,
		Hosts: s.Hosts, Write: c.Write, Deadline: time.Duration(c.Deadline * float64(time.Millisecond))}
	if c.Keyed {
		m.Key = "k" + m.ID
	}
	if c.Write {
		m.Body = writeBody[:min(len(writeBody), 64*q.Units)]
	}
	if q.CreatedBy != 0 {
		if at, ok := r.newObjectShards.Load(q.Extent); ok && at.(int) >= 0 {
			m.Shard = at.(int)
		} else {
			m.Shard = int(q.Extent % uint64(s.Shards))
			r.mu.Lock()
			r.res.Unplaced++
			r.mu.Unlock()
		}
	}
	return m
}

var writeBody = make([]byte, 4096)

// watchPauses records the times in which the process did not run: it was stopped or not scheduled, or the
// garbage collector paused it.
func (r *runner) watchPauses(ctx context.Context) {
	detector := loadvalidity.PauseDetector{Period: pauseCheckInterval, Slack: pauseCheckSlack}
	var gc debug.GCStats
	debug.ReadGCStats(&gc)
	previousPauseTotal := gc.PauseTotal
	tick := time.NewTimer(pauseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		tick.Reset(pauseCheckInterval)
		p, found := detector.Tick(time.Since(r.start), 0)
		if !found {
			continue
		}
		debug.ReadGCStats(&gc) // only after a pause, because the call is expensive
		if gc.PauseTotal-previousPauseTotal >= p.Duration/2 {
			p.Cause = "gc"
		}
		previousPauseTotal = gc.PauseTotal
		r.mu.Lock()
		r.res.Generator.RecordPause(p)
		r.mu.Unlock()
	}
}
