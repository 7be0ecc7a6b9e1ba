package scattergather

import (
	"context"
	"slices"
	"time"

	"wheatsaddle/internal/interleave/sync"
)

// maxBatchBytes is the number of bytes of rows after which a batch goes to the writer; one row may exceed it.
const maxBatchBytes = 32 << 10

// Sender sends attempts of parts. Neither method blocks. After an attempt is cancelled nothing more is needed from it, but its
// Sink may still be used.
type Sender interface {
	Send(a Attempt, until time.Time, to *Sink)
	Cancel(a Attempt)
}

// Sink receives the bytes and the end of an attempt.
type Sink struct {
	attempt    Attempt
	cancelled  chan struct{} // closed when the attempt is cancelled
	done       <-chan struct{}
	pieces     chan<- piece
	ends       chan<- attemptEnd
	unconsumed []byte        // owned by run: bytes that the merge has not consumed yet
	consumed   chan struct{} // signals that the piece is consumed
	end        *attemptEnd   // owned by run: pending until unconsumed is empty
}

type piece struct {
	from *Sink
	data []byte
}

type attemptEnd struct {
	from *Sink
	data []byte
	err  error
}

// Deliver passes on the next bytes and blocks until the merge has consumed them (back-pressure). After that the caller may
// reuse data. It returns false if no more bytes are needed.
func (s *Sink) Deliver(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	if !sync.SendOrEither(s.pieces, piece{s, data}, s.cancelled, s.done) {
		return false
	}
	// On cancellation, run drops data before it closes the channel.
	_, _, _, which := sync.First3(s.consumed, s.cancelled, s.done)
	return which == 0
}

// End reports, exactly once, how the attempt ended. data is the last bytes of the body, or all of it, and belongs to the gather
// from now on. End does not block. err is nil, *Rejection, *gather.Limited or another error.
func (s *Sink) End(data []byte, err error) { sync.Send(s.ends, attemptEnd{s, data, err}) }

// Options are the options of Run.
type Options struct {
	ReceivedAt   time.Time
	MaxPartBytes int // bytes of the data that an End may carry
	// Write receives records, or frames of a partial result, from one goroutine at a time. An error means that the client disconnected.
	Write func(rows []byte) error
}

// Run executes a gathered read and returns its final answer. The end of the context means that the client disconnected. Run waits
// for a Write in progress and for nothing else.
func Run(ctx context.Context, g *Gather, sender Sender, opt Options) Final {
	timer := time.NewTimer(0)
	defer timer.Stop()
	now := func() time.Duration { return time.Since(opt.ReceivedAt) }
	return run(ctx, g, sender, opt, clock{now, timer.C, func(at time.Duration) { timer.Reset(max(0, at-now())) }})
}

// clock is the time source of run.
type clock struct {
	now   func() time.Duration // since the request arrived
	wake  <-chan time.Time
	reset func(at time.Duration)
}

func run(ctx context.Context, g *Gather, sender Sender, opt Options, c clock) Final {
	now := c.now
	done := make(chan struct{})
	defer sync.Close(done)
	// The buffer has room for the end of each attempt, so End never blocks.
	ends := make(chan attemptEnd, len(g.parts)*(1+max(g.rules.MaxRetries, maxPeersPerGroup)+maxRowLimitRaises+maxUncountedRejections))
	pieces := make(chan piece)
	batches, written := make(chan []byte), make(chan error, 1)
	defer sync.Close(batches)
	sync.Go(func() {
		for b, ok := sync.Recv(batches); ok; b, ok = sync.Recv(batches) {
			sync.Send(written, opt.Write(b))
		}
	})
	inFlight := map[string][]*Sink{} // attempts by part, ordered by number
	var rows, spare []byte
	writing := false
	// feedMerge passes bytes to the merge up to its available memory.
	feedMerge := func(id string) (progressed bool) {
		for i := 0; i < len(inFlight[id]); i++ {
			s := inFlight[id][i]
			if len(s.unconsumed) == 0 && s.end == nil {
				continue
			}
			if len(s.unconsumed) > 0 {
				sync.Reads(&s.unconsumed[0])
			}
			n := g.Receive(now(), id, s.attempt.Number, s.unconsumed)
			s.unconsumed = s.unconsumed[n:]
			progressed = progressed || n > 0
			switch {
			case len(s.unconsumed) > 0:
			case s.end != nil:
				inFlight[id] = slices.Delete(inFlight[id], i, i+1)
				i--
				g.AttemptEnded(now(), id, s.attempt.Number, s.end.err)
				progressed = true
			default:
				sync.Send(s.consumed, struct{}{})
			}
		}
		return progressed
	}
	for {
		for progressed := true; progressed; {
			progressed = false
			for _, p := range g.parts {
				progressed = feedMerge(p.ID) || progressed
			}
			if !writing {
				rows = g.Append(rows, maxBatchBytes)
			}
			if len(rows) > 0 {
				writing = true
				sync.Send(batches, rows)
				rows, spare = spare[:0], rows
			}
			for _, a := range g.Step(now()) {
				id := a.Part.ID
				if !a.Cancel {
					s := &Sink{attempt: a.Attempt, cancelled: make(chan struct{}), done: done, pieces: pieces, ends: ends, consumed: make(chan struct{}, 1)}
					inFlight[id] = append(inFlight[id], s)
					sender.Send(a.Attempt, opt.ReceivedAt.Add(a.Deadline), s)
					continue
				}
				if i := slices.IndexFunc(inFlight[id], func(s *Sink) bool { return s.attempt.Number == a.Number }); i >= 0 {
					s := inFlight[id][i]
					inFlight[id] = slices.Delete(inFlight[id], i, i+1)
					s.unconsumed, s.end = nil, nil
					sync.Close(s.cancelled)
					sender.Cancel(s.attempt)
				}
			}
			if f, ok := g.Final(); ok {
				if writing {
					if err, _ := sync.Recv(written); err != nil { // the client disconnected before its last rows
						f.Kind = ClientDisconnected
					}
				}
				return f
			}
			progressed = progressed || g.WakeAt() <= now()
		}
		c.reset(g.WakeAt())
		switch _, err, p, e, _, which := sync.First5(ctx.Done(), written, pieces, ends, c.wake); which {
		case 0:
			g.ClientDisconnected()
		case 1:
			if writing = false; err != nil {
				g.ClientDisconnected()
			}
		case 2:
			p.from.unconsumed = p.data
		case 3:
			e := e // its address is kept
			if len(e.data) > opt.MaxPartBytes {
				e.data, e.err = e.data[:opt.MaxPartBytes:opt.MaxPartBytes], &PartTooLong{e.from.attempt.Part.ID, opt.MaxPartBytes}
			}
			e.from.unconsumed, e.from.end = e.data, &e
		}
	}
}
