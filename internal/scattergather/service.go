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
)

const (
	busyWait = 50 * time.Millisecond  // of a read over Most
	noneWait = 250 * time.Millisecond // of a read of all shards while none has an up node
)

// Query is what a client asks of a gathered read.
type Query struct {
	Shards  []int  // these, or
	All     bool   // all that have an up node
	Token   string // goes on after the page that ended with it
	Partial bool   // the result goes out encoded, for a merge that it is a part of
	Rows    int    // of a partial result: it ends after so many; 0: with the last
}

// Service serves gathered reads over one core. It is not changed once it serves; other rules are another Service.
type Service struct {
	Core    *core.Core
	Classes map[string]Rules
	Shards  func() []int                               // those that have an up node
	Tree    Grouper                                    // nil: each part is asked by this process
	Expect  func(class string, shards []int) []float64 // how long each takes, in any unit; nil, or nil given: not known
	Units   float64                                    // of a part; 0: the client's
	// PartMost bounds the bytes of a part's body, PartsMost the parts of a read.
	PartMost, PartsMost int
	Reads               *Gate // reads at once
	TokenKey            []byte
	Payload             func(client, part *core.Request, rows int) any // what the nodes' front sends for a part; rows from its start, 0 all
	Body                func(any) Body                                 // of what it made of the node's answer
}

// Grouper hands groups of parts to others that gather them, and may give them back to be gathered here.
type Grouper interface {
	// Group says which parts of a read are asked as groups (gather.Part with Of) and who asks. The parts of the read come back as they
	// are, with Read.Own, where none is. It is asked for classes that are safe to repeat alone, and never for a partial
	// result: who gathers one hands nothing on.
	Group(Read) ([]gather.Part, Asker)
}

// Read is what a Grouper knows of one gathered read.
type Read struct {
	Client *core.Request
	Rules  Rules
	Parts  []gather.Part // each of one shard
	Own    Asker         // of single parts
	// Here gathers a group in this process, as a partial result of Ask.Rows rows: its parts are requests of this core under
	// the asking's name. It blocks until its Final; the context's end calls it off.
	Here func(ctx context.Context, a Ask, until time.Time, write func([]byte) error) Final
}

// Gate bounds reads at once; it outlives a Service.
type Gate struct {
	most, in atomic.Int64
}

// Set sets the bound; reads that are in stay.
func (g *Gate) Set(most int) { g.most.Store(int64(most)) }

// In is how many reads there are.
func (g *Gate) In() int { return int(g.in.Load()) }

func (g *Gate) enter() bool {
	if g.in.Add(1) > g.most.Load() {
		g.in.Add(-1)
		return false
	}
	return true
}

// Name is the name of a shard's part.
func Name(shard int) string { return strconv.Itoa(shard) }

// Read carries out a gathered read; write is given records of the rules' form, or of a partial result, by one goroutine at a time.
// It returns the one final answer. The context's end says that the client left.
func (s *Service) Read(ctx context.Context, r *core.Request, ask Query, write func([]byte) error) Final {
	rules, known := s.Classes[r.Class]
	if !known {
		return Final{Kind: Invalid, Err: &NoRules{r.Class}}
	}
	if !s.Reads.enter() {
		return Final{Kind: Refused, RetryAfter: busyWait}
	}
	defer s.Reads.in.Add(-1)
	shards := slices.Clone(ask.Shards)
	if ask.All {
		if shards = s.Shards(); len(shards) == 0 {
			return Final{Kind: Refused, RetryAfter: noneWait}
		}
	}
	if len(shards) > s.PartsMost {
		return Final{Kind: Invalid, Err: &ShardsBad{strconv.Itoa(len(shards)) + " shards", "are more than " + strconv.Itoa(s.PartsMost)}}
	}
	parts := s.parts(r.Class, shards)
	own := s.own(r, r.ID)
	asker := Asker(own)
	if s.Tree != nil && rules.Safe && !ask.Partial {
		byID := map[string]gather.Part{}
		for _, p := range parts {
			byID[p.ID] = p
		}
		parts, asker = s.Tree.Group(Read{Client: r, Rules: rules, Parts: parts, Own: own,
			Here: func(ctx context.Context, a Ask, until time.Time, write func([]byte) error) Final {
				var of []gather.Part
				for _, id := range a.Part.Of {
					of = append(of, byID[id])
				}
				sub := s.own(r, own.id(a))
				now := time.Now() // its share for the merge is of the time that it has
				return s.run(ctx, rules, now, until.Sub(now), of, sub, Query{Partial: true, Rows: a.Rows}, write)
			}})
	}
	late := (&deadline.LagGauge{}).Margin(0, r.Timeout) // the client counts from its own send
	return s.run(ctx, rules, r.ReceivedAt, r.Timeout-late, parts, asker, ask, write)
}

func (s *Service) own(r *core.Request, id string) *Core {
	c := &Core{Core: s.Core, Client: r.Request, Settings: r.Settings, PartMost: s.PartMost, Body: s.Body, Gone: r.ClientDisconnected,
		Units:   func(gather.Part) float64 { return cmp.Or(s.Units, r.Units) },
		Payload: func(part *core.Request, a Ask) any { return s.Payload(r, part, a.Rows) }}
	c.Client.ID = id
	return c
}

// parts are the shards' parts. The first are asked first where not all are asked at once: those that take longest, as the
// whole ends with the last.
func (s *Service) parts(class string, shards []int) []gather.Part {
	type one struct {
		shard int
		takes float64
	}
	all := make([]one, len(shards))
	var takes []float64
	if s.Expect != nil {
		takes = s.Expect(class, shards)
	}
	for i, n := range shards {
		if all[i].shard = n; takes != nil {
			all[i].takes = takes[i]
		}
	}
	slices.SortStableFunc(all, func(a, b one) int { return cmp.Compare(b.takes, a.takes) })
	parts := make([]gather.Part, len(all))
	for i, x := range all {
		parts[i] = gather.Part{ID: Name(x.shard), Shard: x.shard}
	}
	return parts
}

func (s *Service) run(ctx context.Context, rules Rules, arrived time.Time, patience time.Duration, parts []gather.Part, asker Asker,
	ask Query, write func([]byte) error) Final {
	var opts []gather.Option
	if len(s.TokenKey) > 0 {
		opts = append(opts, gather.TokenKey(s.TokenKey))
	}
	if ask.Token != "" {
		opts = append(opts, gather.From(ask.Token))
	}
	groups, _ := asker.(handing)
	g, err := New(rules, patience, parts, opts...)
	f := Final{Kind: Invalid, Err: err}
	if err == nil {
		if ask.Partial {
			g.Partial(ask.Rows)
		}
		if groups != nil {
			groups.begin(g)
		}
		f = Run(ctx, g, asker, Options{Arrived: arrived, PartMost: s.PartMost, Write: write})
	}
	if groups != nil {
		f = groups.ended(f)
	}
	return f
}
