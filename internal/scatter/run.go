package scatter

import (
	"context"
	"slices"
	"time"
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
	select {
	case s.pieces <- piece{s, data}:
	case <-s.off:
		return false
	case <-s.done:
		return false
	}
	select {
	case <-s.took:
		return true
	case <-s.off: // the loop is done with data: it closed off
		return false
	case <-s.done:
		return false
	}
}

// End says, once, how the asking ended, with its last bytes, or all of a whole body; those are the gather's from now on.
// It does not block. Errors: nil, *Refusal, *gather.Limited, others.
func (s *Sink) End(data []byte, err error) { s.ends <- ending{s, data, err} }

// Options of Run.
type Options struct {
	Arrived  time.Time
	PartMost int                     // bytes of the data that a part's End may bring
	Write    func(rows []byte) error // records, or frames of a partial result; called by one goroutine at a time; an error: the client left
}

// Run carries a gathered read out and returns its one final answer. The context's end says that the client left. Run waits
// for a Write that is out, and for nothing else.
func Run(ctx context.Context, g *Gather, asker Asker, opt Options) Final {
	done := make(chan struct{})
	defer close(done)
	// Each asking sends one end, so that none blocks.
	ends := make(chan ending, len(g.parts)*(1+max(g.r.Again, copiesMost)+moreMost))
	pieces := make(chan piece)
	write, wrote := make(chan []byte), make(chan error, 1)
	defer close(write)
	go func() {
		for b := range write {
			wrote <- opt.Write(b)
		}
	}()
	out := map[string][]*Sink{} // askings by part, in order of numbers
	now := func() time.Duration { return time.Since(opt.Arrived) }
	wake := time.NewTimer(0)
	defer wake.Stop()
	var rows, spare []byte
	busy := false
	// feed gives the merge what it has room for.
	feed := func(id string) (fed bool) {
		for i := 0; i < len(out[id]); i++ {
			s := out[id][i]
			if len(s.held) == 0 && s.ending == nil {
				continue
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
				s.took <- struct{}{}
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
				write <- rows
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
					close(s.off)
					asker.Off(s.ask)
				}
			}
			if f, ok := g.Final(); ok {
				if busy {
					if err := <-wrote; err != nil { // it left before its last rows
						f.Kind = Left
					}
				}
				return f
			}
			again = again || g.Wake() <= now()
		}
		wake.Reset(max(0, g.Wake()-now()))
		select {
		case <-ctx.Done():
			g.Leave()
		case err := <-wrote:
			if busy = false; err != nil {
				g.Leave()
			}
		case p := <-pieces:
			p.from.held = p.data
		case e := <-ends:
			if len(e.data) > opt.PartMost {
				e.data, e.err = e.data[:opt.PartMost:opt.PartMost], &PartLong{e.from.ask.Part.ID, opt.PartMost}
			}
			e.from.held, e.from.ending = e.data, &e
		case <-wake.C:
		}
	}
}
