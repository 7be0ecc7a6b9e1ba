package soak

import (
	"fmt"
	"sync"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

// soundMargin is how long before the end of its time an answer has to be there, so that it counts as one that came in time.
const soundMargin = 120 * time.Millisecond

// Transfers are requests whose nodes read them, or write their answers, with rests.
type Transfers struct {
	Requests []Request
	Interval time.Duration // between two requests
	NoBeside bool          // without small reads beside
}

// Play sends the requests and returns the rules that were broken, and the number of requests that were served.
func (t Transfers) Play(d *Deployment, name string) (served int, broken []Breach) {
	var found breaches
	var mu sync.Mutex // guards served
	stop := make(chan struct{})
	var beside, all sync.WaitGroup
	if !t.NoBeside {
		beside.Go(func() { d.smallReads(name+"-small", stop, &found) })
	}
	for i, r := range t.Requests {
		r.ID = fmt.Sprintf("%s-%d", name, i)
		all.Go(func() {
			o := d.Send(r)
			checkTransfer(r, o, r.isSound(), &found)
			if o.Served() {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(t.Interval)
	}
	all.Wait()
	close(stop)
	beside.Wait()
	return served, found.all
}

// isLong reports whether the answer is so long that its first bytes are timed.
func (r *Request) isLong() bool { return r.Script.Size > relayedSize }

// isSound reports whether the node's answer comes within the request's time: all of it, or of a long answer the first byte.
func (r *Request) isSound() bool {
	comes := r.Script.ReadTime(r.Body) + r.Script.ResponseTime()
	if r.isLong() {
		comes = r.Script.ReadTime(r.Body) + r.Script.FirstByteTime()
	}
	return comes <= r.Deadline-soundMargin
}

// checkTransfer checks the outcome of a request: a sound answer is served whole, and any final answer comes within the request's time.
func checkTransfer(r Request, o Outcome, sound bool, broken *breaches) {
	end := o.EndedAt
	if r.isLong() && o.Code == 200 {
		end = o.FirstByteAt
	}
	took := end.Sub(o.SentAt)
	what := fmt.Sprintf("%s: code %d, %d bytes after %v, %v", r.describe(), o.Code, o.Body, o.EndedAt.Sub(o.SentAt).Round(time.Millisecond), o.Err)
	switch {
	case sound && (!o.Served() || o.Body != r.Script.Size):
		broken.add(ruleCutOff, "%s", what)
	case sound && took > r.Deadline:
		broken.add(ruleFirstByte, "%s", what)
	case o.SentAt.IsZero() || o.Code == 0 || took > r.Deadline+finalSlack && !r.isOfUnknownLength(o):
		broken.add(ruleFinal, "%s", what)
	}
}

// isOfUnknownLength reports whether an answer was passed on of which it could not be known that it is short.
func (r *Request) isOfUnknownLength(o Outcome) bool {
	return o.Code == 200 && r.Script.Framing != "" && r.Script.Framing != pacednode.Length
}

// describe returns what identifies a request in a breach.
func (r *Request) describe() string {
	s := r.Script
	return fmt.Sprintf("%s (%s, body %d read at %d/s with rests %v, answer %d %s %s over %v, rests %v %v %v, deadline %v)", r.ID, r.Class, r.Body,
		s.ReadRate, s.ReadRests, s.Size, s.Framing, s.Pattern, s.Duration, s.HeadRest, s.BodyRest, s.Rests, r.Deadline)
}
