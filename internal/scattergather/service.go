package scattergather

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"wheatsaddle/gather"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/deadline"
	"wheatsaddle/internal/memory"
)

const (
	busyRetryAfter     = 50 * time.Millisecond  // for a read over the limit of concurrent reads
	noShardsRetryAfter = 250 * time.Millisecond // for a read of all shards while no shard has an up node
)

// Query is what a client requests of a gathered read.
type Query struct {
	Shards  []int  // the shards to read, unless All is set
	All     bool   // all shards that have an up node
	Token   string // continues after the page that ended with this token
	Partial bool   // the result is encoded as a partial result, for another merge
	Rows    int    // row limit of a partial result; 0: unlimited
}

// Service serves gathered reads on one core. It is immutable while it serves; changed rules need a new Service.
type Service struct {
	Core              *core.Core
	Classes           map[string]Rules
	Shards            func() []int                               // shards that have an up node
	Delegator         Delegator                                  // nil: this process requests each part itself
	ExpectedDurations func(class string, shards []int) []float64 // expected duration of each shard, in any unit; nil, or a nil result: unknown
	PartUnits         float64                                    // units of a part; 0: those of the client's request
	// MaxPartBytes is the limit of a part's body, MaxParts the limit of parts of one read.
	MaxPartBytes, MaxParts int
	ReadLimiter            *Limiter                            // limits concurrent reads
	Memory                 *memory.Account                     // of the reads in progress; nil: no limit
	ReadBytes              func(class string, parts int) int64 // memory of a read, in bytes; nil with a nil Memory
	TokenKey               []byte
	Payload                func(client, part *core.Request, rows int) any // what the nodes' front sends for a part; rows is its row limit, 0: none
	Body                   func(any) Body                                 // body of a node's response payload
}

// Delegator delegates groups of parts to peers that gather them, and may have a group gathered in this process.
type Delegator interface {
	// Delegate chooses which parts of a read are requested as groups (gather.Part with Of), and returns the Sender for them. Without
	// a group it returns the parts of the read unchanged, with ReadRequest.Local. It is called only for idempotent classes, and never
	// for a partial result, because a delegate does not delegate further.
	Delegate(ReadRequest) ([]gather.Part, Sender)
}

// ReadRequest is one gathered read as a Delegator sees it.
type ReadRequest struct {
	Client *core.Request
	Rules  Rules
	Parts  []gather.Part // one per shard
	Local  Sender        // sends attempts of single parts
	// GatherLocally gathers a group in this process, as a partial result of Attempt.Rows rows. Its parts are requests of this core
	// under the attempt's request ID. It blocks until the final answer; the end of the context cancels it.
	GatherLocally func(ctx context.Context, a Attempt, until time.Time, write func([]byte) error) Final
}

// Limiter limits concurrent reads. It outlives a Service.
type Limiter struct {
	limit, inFlight atomic.Int64
}

// SetLimit sets the limit. Reads in progress continue.
func (l *Limiter) SetLimit(limit int) { l.limit.Store(int64(limit)) }

// InFlight returns the number of reads in progress.
func (l *Limiter) InFlight() int { return int(l.inFlight.Load()) }

func (l *Limiter) tryEnter() bool {
	if l.inFlight.Add(1) > l.limit.Load() {
		l.inFlight.Add(-1)
		return false
	}
	return true
}

// PartID returns the ID of a shard's part.
func PartID(shard int) string { return strconv.Itoa(shard) }

// Read executes a gathered read and returns its final answer. write receives records in the rules' form, or a partial result, from
// one goroutine at a time. The end of the context means that the client disconnected.
func (s *Service) Read(ctx context.Context, r *core.Request, query Query, write func([]byte) error) Final {
	rules, known := s.Classes[r.Class]
	if !known {
		return Final{Kind: Invalid, Err: &ClassWithoutRules{r.Class}}
	}
	if !s.ReadLimiter.tryEnter() {
		return Final{Kind: Rejected, RetryAfter: busyRetryAfter}
	}
	defer s.ReadLimiter.inFlight.Add(-1)
	shards := slices.Clone(query.Shards)
	if query.All {
		if shards = s.Shards(); len(shards) == 0 {
			return Final{Kind: Rejected, RetryAfter: noShardsRetryAfter}
		}
	}
	if len(shards) > s.MaxParts {
		return Final{Kind: Invalid, Err: &InvalidShards{strconv.Itoa(len(shards)) + " shards", "are more than " + strconv.Itoa(s.MaxParts)}}
	}
	held := s.Memory.NewShare(memory.GatheredRead)
	if s.Memory != nil && !held.Grow(s.ReadBytes(r.Class, len(shards))) {
		return Final{Kind: Rejected, RetryAfter: busyRetryAfter}
	}
	defer held.Release()
	parts := s.parts(r.Class, shards)
	local := s.localSender(r, r.ID)
	sender := Sender(local)
	if s.Delegator != nil && rules.Idempotent && !query.Partial {
		byID := map[string]gather.Part{}
		for _, p := range parts {
			byID[p.ID] = p
		}
		parts, sender = s.Delegator.Delegate(ReadRequest{Client: r, Rules: rules, Parts: parts, Local: local,
			GatherLocally: func(ctx context.Context, a Attempt, until time.Time, write func([]byte) error) Final {
				var of []gather.Part
				for _, id := range a.Part.Of {
					of = append(of, byID[id])
				}
				sub := s.localSender(r, local.requestID(a))
				now := time.Now() // the merge's share is taken from the time that is left
				return s.run(ctx, rules, now, until.Sub(now), of, sub, Query{Partial: true, Rows: a.Rows}, write)
			}})
	}
	lag := (&deadline.LagGauge{}).Margin(0, r.Timeout) // the client's deadline counts from its own send time
	return s.run(ctx, rules, r.ReceivedAt, r.Timeout-lag, parts, sender, query, write)
}

func (s *Service) localSender(r *core.Request, id string) *CoreSender {
	c := &CoreSender{Core: s.Core, Client: r.Request, Settings: r.Settings, MaxPartBytes: s.MaxPartBytes, Body: s.Body, ClientDisconnected: r.ClientDisconnected,
		Units:   func(gather.Part) float64 { return cmp.Or(s.PartUnits, r.Units) },
		Payload: func(part *core.Request, a Attempt) any { return s.Payload(r, part, a.Rows) }}
	c.Client.ID = id
	return c
}

// parts returns the parts of the shards. Earlier parts are requested first if the concurrency limit does not admit all. The parts
// with the longest expected duration come first, because the read ends with its last part.
func (s *Service) parts(class string, shards []int) []gather.Part {
	type expected struct {
		shard    int
		duration float64
	}
	all := make([]expected, len(shards))
	var durations []float64
	if s.ExpectedDurations != nil {
		durations = s.ExpectedDurations(class, shards)
	}
	for i, n := range shards {
		if all[i].shard = n; durations != nil {
			all[i].duration = durations[i]
		}
	}
	slices.SortStableFunc(all, func(a, b expected) int { return cmp.Compare(b.duration, a.duration) })
	parts := make([]gather.Part, len(all))
	for i, x := range all {
		parts[i] = gather.Part{ID: PartID(x.shard), Shard: x.shard}
	}
	return parts
}

func (s *Service) run(ctx context.Context, rules Rules, receivedAt time.Time, timeout time.Duration, parts []gather.Part, sender Sender,
	query Query, write func([]byte) error) Final {
	var opts []gather.Option
	if len(s.TokenKey) > 0 {
		opts = append(opts, gather.TokenKey(s.TokenKey))
	}
	if query.Token != "" {
		opts = append(opts, gather.From(query.Token))
	}
	delegating, _ := sender.(delegatingSender)
	g, err := New(rules, timeout, parts, opts...)
	f := Final{Kind: Invalid, Err: err}
	if err == nil {
		if query.Partial {
			g.SetPartial(query.Rows)
		}
		if delegating != nil {
			delegating.begin(g)
		}
		f = Run(ctx, g, sender, Options{ReceivedAt: receivedAt, MaxPartBytes: s.MaxPartBytes, Write: write})
	}
	if delegating != nil {
		f = delegating.finish(f)
	}
	return f
}
