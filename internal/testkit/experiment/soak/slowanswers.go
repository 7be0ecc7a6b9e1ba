package soak

import (
	"fmt"
	"sync"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

// Breach is one broken rule, with what shows it.
type Breach struct{ Rule, Detail string }

func (b Breach) String() string { return b.Rule + ": " + b.Detail }

// breaches collects broken rules. Any goroutine may call its methods.
type breaches struct {
	mu  sync.Mutex // guards all
	all []Breach
}

func (b *breaches) add(rule, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, Breach{rule, fmt.Sprintf(format, args...)})
}

// The rules that the pictures check.
const (
	ruleCutOff     = "a sound answer is passed on to its end"
	ruleFirstByte  = "the first byte of a long answer, or the whole of a short one, comes within the request's time"
	ruleFinal      = "each request gets its final answer by half a second after its time"
	ruleSoundReads = "sound requests beside are served"
)

// SlowAnswers are the requests of picture (b): long answers that their nodes write slowly, and small reads beside them.
type SlowAnswers struct {
	Count    int           // of long answers
	Interval time.Duration // between their requests
	Deadline time.Duration // of the long answers' requests
	Script   func(i int) pacednode.Script
}

// smallReadInterval is the time between the small reads beside the long answers.
const smallReadInterval = 20 * time.Millisecond

// Play sends the requests and returns the rules that were broken.
func (s SlowAnswers) Play(d *Deployment, name string) []Breach {
	var broken breaches
	stop := make(chan struct{})
	var beside, all sync.WaitGroup
	beside.Go(func() { d.smallReads(name+"-small", stop, &broken) })
	for i := range s.Count {
		r := Request{ID: fmt.Sprintf("%s-%d", name, i), Class: ClassRead, Shard: i % d.Shards(), Deadline: s.Deadline, Script: s.Script(i)}
		all.Go(func() { checkLongAnswer(r, d.Send(r), &broken) })
		time.Sleep(s.Interval)
	}
	all.Wait()
	close(stop)
	beside.Wait()
	return broken.all
}

// checkLongAnswer checks the outcome of a request whose node writes all of its answer.
func checkLongAnswer(r Request, o Outcome, broken *breaches) {
	what := fmt.Sprintf("%s (%s, %s over %v, %d bytes, deadline %v): code %d, %d bytes after %v, %v", r.ID, r.Script.Framing, r.Script.Pattern,
		r.Script.Duration, r.Script.Size, r.Deadline, o.Code, o.Body, o.EndedAt.Sub(o.SentAt).Round(time.Millisecond), o.Err)
	if !o.Served() || o.Body != r.Script.Size {
		broken.add(ruleCutOff, "%s", what)
		return
	}
	if late := o.FirstByteAt.Sub(o.SentAt) - r.Deadline; late > 0 {
		broken.add(ruleFirstByte, "%s; the first byte came %v late", what, late)
	}
}

// smallReads sends small reads, one after the other, until stop is closed.
func (d *Deployment) smallReads(name string, stop <-chan struct{}, broken *breaches) {
	const deadline = time.Second
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(smallReadInterval):
		}
		r := Request{ID: fmt.Sprintf("%s-%d", name, i), Class: ClassRead, Shard: i % d.Shards(), Deadline: deadline,
			Script: pacednode.Script{Size: 100, Work: 2 * time.Millisecond}}
		o := d.Send(r)
		if !o.Served() || o.EndedAt.Sub(o.SentAt) > deadline {
			broken.add(ruleSoundReads, "%s: code %d after %v, %v", r.ID, o.Code, o.EndedAt.Sub(o.SentAt), o.Err)
		}
	}
}

// slowScript returns the i-th of the ways in which a node writes a long answer slowly.
func slowScript(i int) pacednode.Script {
	framings := []pacednode.Framing{pacednode.Length, pacednode.Chunked, pacednode.Close}
	patterns := []pacednode.Pattern{pacednode.Steady, pacednode.Lumps, pacednode.LateBody}
	return pacednode.Script{Work: 10 * time.Millisecond, Size: 150_000 + i%5*30_000, Framing: framings[i%len(framings)],
		Pattern: patterns[i/len(framings)%len(patterns)], Duration: time.Duration(600+i%4*300) * time.Millisecond}
}
