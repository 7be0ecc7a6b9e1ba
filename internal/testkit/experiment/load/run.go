// Package load sends a schedule of requests to schedulers, open loop, and notes what came of each:
// a late answer delays no later send. Latency counts from when a request was due; the time from
// its real send is kept beside it. What it notes of its own lateness is judged by internal/testkit/loadvalidity.
//
// Invariants: each arrival of the schedule is sent or counted as kept back, by name; a client's
// retry belongs to its first try, and there is at most one; two workers' results merge to one's.
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

// Source gives arrivals in the order of time.
type Source interface {
	Next() (workload.Request, bool)
}

// Options are a run's.
type Options struct {
	Shape    workload.Shape
	Source   Source
	Pools    []*client.Pool // schedulers; a volume's host picks one
	Run      string         // begins each request's id
	MostOpen int            // requests out at once; what is over is kept back and counted
	Retry    bool           // clients send once more what was refused or reset
	Wait     time.Duration  // before a retry, where no Retry-After says it
	Bounds   loadvalidity.Bounds
	Worker   int // this one of Workers: sends the requests of its number
	Workers  int
	Progress func(at time.Duration, sent, open int64) // about each second; nil: none
}

// KeptOpen names what the bound on open requests kept back.
const KeptAtOpenLimit = "open requests"

const (
	pauseCheckInterval = time.Millisecond
	pauseCheckSlack    = 10 * time.Millisecond
	minRetryTime       = 20 * time.Millisecond // of time left, or there is no retry
)

// runner is one run.
type runner struct {
	opt             Options
	start           time.Time
	open            atomic.Int64
	sent            atomic.Int64
	wg              sync.WaitGroup
	mu              sync.Mutex
	res             *Results
	newObjectShards sync.Map // extent of a new object to its shard, as its write's answer told
}

// Run sends the whole schedule and waits for the last answer.
func Run(ctx context.Context, opt Options) (*Results, error) {
	if opt.Workers == 0 {
		opt.Workers = 1
	}
	if len(opt.Pools) == 0 || opt.MostOpen < 1 || opt.Worker < 0 || opt.Worker >= opt.Workers {
		return nil, fmt.Errorf("load: a scheduler, a bound on open requests and a worker of %d are needed", opt.Workers)
	}
	notes, err := loadvalidity.New(opt.Bounds)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	r := &runner{opt: opt, start: time.Now(), res: NewResults(opt.Shape, notes)}
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

// send waits for each arrival's time and starts it.
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
		if r.open.Load() >= int64(r.opt.MostOpen) {
			r.mu.Lock()
			r.res.Notes.Keep(KeptAtOpenLimit)
			r.res.recordKept(&q)
			r.mu.Unlock()
			continue
		}
		due, sent := q.At, time.Since(r.start)
		r.mu.Lock()
		r.res.Notes.Send(due, sent)
		r.mu.Unlock()
		r.sent.Add(1)
		r.open.Add(1)
		r.wg.Go(func() {
			defer r.open.Add(-1)
			r.sendWithRetry(&q)
		})
	}
}

// one plays a request and, where it is refused or reset, its client's one retry.
func (r *runner) sendWithRetry(q *workload.Request) {
	m := r.newMessage(q)
	due := r.start.Add(q.At)
	pool := r.opt.Pools[(q.Volume+q.Host)%len(r.opt.Pools)]
	a := pool.Do(m, due)
	tries := 1
	if r.opt.Retry && (a.Outcome == client.Rejected || a.Outcome == client.Reset) {
		wait := r.opt.Wait
		if a.RetryAfter > 0 {
			wait = a.RetryAfter
		}
		again := time.Now().Add(wait)
		if left := due.Add(m.Deadline).Sub(again); left >= minRetryTime {
			time.Sleep(wait)
			m.ID, m.Retry, m.Deadline = m.ID+"r", true, left
			b := pool.Do(m, again)
			b.Sent, b.RetriedOnNewConn = a.Sent, a.RetriedOnNewConn || b.RetriedOnNewConn // it belongs to its first try
			a, tries = b, 2
		}
	}
	if a.Outcome == client.Served && q.Shard < 0 && q.Of == 0 {
		r.newObjectShards.Store(q.Extent, parseShard(a.Body))
	}
	r.mu.Lock()
	r.res.recordAnswer(q, &a, due, tries)
	r.mu.Unlock()
}

// message words a request. A read of a new object goes where its write was put, which only the
// answer told; if that is not known yet, by its extent.
func (r *runner) newMessage(q *workload.Request) *client.Message {
	s := &r.opt.Shape
	c := &s.Classes[q.Class]
	m := &client.Message{ID: fmt.Sprintf("%s-%d", r.opt.Run, q.Seq), Class: c.Name, Plan: s.Plans[q.Plan].Name,
		Extent: fmt.Sprintf("%016x", q.Extent), Volume: fmt.Sprintf("%016x", q.Volume+1), Units: float64(q.Units), Shard: q.Shard,
		Hosts: s.Hosts, Write: c.Write, Deadline: time.Duration(c.Deadline * float64(time.Millisecond))}
	if c.Keyed {
		m.Key = "k" + m.ID
	}
	if c.Write {
		m.Body = writeBody[:min(len(writeBody), 64*q.Units)]
	}
	if q.Of != 0 {
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

// watch ticks and notes when nothing ran: the process was stopped or not scheduled, or the
// collector held it.
func (r *runner) watchPauses(ctx context.Context) {
	w := loadvalidity.Watch{Period: pauseCheckInterval, Slack: pauseCheckSlack}
	var gc debug.GCStats
	debug.ReadGCStats(&gc)
	held := gc.PauseTotal
	tick := time.NewTimer(pauseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		tick.Reset(pauseCheckInterval)
		p, found := w.Tick(time.Since(r.start), 0)
		if !found {
			continue
		}
		debug.ReadGCStats(&gc) // only now: it is not cheap
		if gc.PauseTotal-held >= p.Took/2 {
			p.Why = "gc"
		}
		held = gc.PauseTotal
		r.mu.Lock()
		r.res.Notes.Pause(p)
		r.mu.Unlock()
	}
}
