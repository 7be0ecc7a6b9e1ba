package scattergather

import (
	"context"
	"slices"
	"time"

	"wheatsaddle/internal/interleave/sync"
)

// batchMost is how many bytes of rows go to the writer at once, and one row.
const batchMost = 32 << 10

// Asker sends askings of parts. Neither method blocks. Of an asking that is called off nothing more is needed; its Sink
// may still be used.
type Asker interface {
	Ask(a Ask, until time.Time, to *Sink)
	Off(a Ask)
}

// Sink takes what an asking brings.
type Sink struct {
	ask    Ask
	off    chan struct{} // closed when the asking is called off
	done   <-chan struct{}
	pieces chan<- piece
	ends   chan<- ending
	held   []byte        // the loop's: what the merge has not taken yet
	took   chan struct{} // the piece is taken
	ending *ending       // the loop's: waits until held is taken
}

type piece struct {
	from *Sink
	data []byte
}

type ending struct {
	from *Sink
	data []byte
	err  error
}

// Piece gives the next bytes and waits until the merge has taken them: back-pressure. The bytes are the caller's again
// then. False: no more is needed.
func (s *Sink) Piece(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	if !sync.SendOrEither(s.pieces, piece{s, data}, s.off, s.done) {
		return false
	}
	// Off: the loop is done with data, and closed it.
	_, _, _, which := sync.First3(s.took, s.off, s.done)
	return which == 0
}

// End says, once, how the asking ended, with its last bytes, or all of a whole body; those are the gather's from now on.
// It does not block. Errors: nil, *Refusal, *gather.Limited, others.
func (s *Sink) End(data []byte, err error) { sync.Send(s.ends, ending{s, data, err}) }

// Options of Run.
type Options struct {
	Arrived  time.Time
	PartMost int                     // bytes of the data that a part's End may bring
	Write    func(rows []byte) error // records, or frames of a partial result; called by one goroutine at a time; an error: the client left
}

// Run carries a gathered read out and returns its one final answer. The context's end says that the client left. Run waits
// for a Write that is out, and for nothing else.
func Run(ctx context.Context, g *Gather, asker Asker, opt Options) Final {
	wake := time.NewTimer(0)
	defer wake.Stop()
	now := func() time.Duration { return time.Since(opt.Arrived) }
	return run(ctx, g, asker, opt, clock{now, wake.C, func(at time.Duration) { wake.Reset(max(0, at-now())) }})
}

// clock is what run knows of time.
type clock struct {
	now   func() time.Duration // since the request arrived
	wake  <-chan time.Time
	reset func(at time.Duration)
}

func run(ctx context.Context, g *Gather, asker Asker, opt Options, c clock) Final {
	now := c.now
	done := make(chan struct{})
	defer sync.Close(done)
	// Each asking sends one end, so that none blocks.
	ends := make(chan ending, len(g.parts)*(1+max(g.r.Again, copiesMost)+moreMost+refusedMost))
	pieces := make(chan piece)
	write, wrote := make(chan []byte), make(chan error, 1)
	defer sync.Close(write)
	sync.Go(func() {
		for b, ok := sync.Recv(write); ok; b, ok = sync.Recv(write) {
			sync.Send(wrote, opt.Write(b))
		}
	})
	out := map[string][]*Sink{} // askings by part, in order of numbers
	var rows, spare []byte
	busy := false
	// feed gives the merge what it has room for.
	feed := func(id string) (fed bool) {
		for i := 0; i < len(out[id]); i++ {
			s := out[id][i]
			if len(s.held) == 0 && s.ending == nil {
				continue
			}
			if len(s.held) > 0 {
				sync.Reads(&s.held[0])
			}
			n := g.Take(now(), id, s.ask.Copy, s.held)
			s.held = s.held[n:]
			fed = fed || n > 0
			switch {
			case len(s.held) > 0:
			case s.ending != nil:
				out[id] = slices.Delete(out[id], i, i+1)
				i--
				g.Ended(now(), id, s.ask.Copy, s.ending.err)
				fed = true
			default:
				sync.Send(s.took, struct{}{})
			}
		}
		return fed
	}
	for {
		for again := true; again; {
			again = false
			for _, p := range g.parts {
				again = feed(p.ID) || again
			}
			if !busy {
				rows = g.Append(rows, batchMost)
			}
			if len(rows) > 0 {
				busy = true
				sync.Send(write, rows)
				rows, spare = spare[:0], rows
			}
			for _, a := range g.Step(now()) {
				id := a.Part.ID
				if !a.Off {
					s := &Sink{ask: a.Ask, off: make(chan struct{}), done: done, pieces: pieces, ends: ends, took: make(chan struct{}, 1)}
					out[id] = append(out[id], s)
					asker.Ask(a.Ask, opt.Arrived.Add(a.Until), s)
					continue
				}
				if i := slices.IndexFunc(out[id], func(s *Sink) bool { return s.ask.Copy == a.Copy }); i >= 0 {
					s := out[id][i]
					out[id] = slices.Delete(out[id], i, i+1)
					s.held, s.ending = nil, nil
					sync.Close(s.off)
					asker.Off(s.ask)
				}
			}
			if f, ok := g.Final(); ok {
				if busy {
					if err, _ := sync.Recv(wrote); err != nil { // it left before its last rows
						f.Kind = Left
					}
				}
				return f
			}
			again = again || g.Wake() <= now()
		}
		c.reset(g.Wake())
		switch _, err, p, e, _, which := sync.First5(ctx.Done(), wrote, pieces, ends, c.wake); which {
		case 0:
			g.Leave()
		case 1:
			if busy = false; err != nil {
				g.Leave()
			}
		case 2:
			p.from.held = p.data
		case 3:
			e := e // its own: it is kept
			if len(e.data) > opt.PartMost {
				e.data, e.err = e.data[:opt.PartMost:opt.PartMost], &PartLong{e.from.ask.Part.ID, opt.PartMost}
			}
			e.from.held, e.from.ending = e.data, &e
		}
	}
}
