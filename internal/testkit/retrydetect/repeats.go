// Package retrydetect decides which recorded request is a client's retry of which earlier one, and in
// a replay whether such a retry is to be sent. It reads no file and no clock: entries come in the
// order of their times, verdicts go out.
//
// Invariants: a retry's first try is an earlier entry within the window, and is no retry itself;
// a first try has MostRetries at most by likeness; without a mark, a key or a likeness nothing is
// a retry; the entries held are bounded, and what the bound pushes out early is counted; in a
// replay a retry is sent only once its first try has ended without service, and each is sent or
// skipped exactly once.
//
// Source: the platform's protocol (X-Retry, Idempotency-Key); the likeness is a guess, and so comes
// with a confidence and is counted apart.
package retrydetect

import (
	"fmt"
	"time"
)

// End is how a recorded request ended.
type End uint8

// The ends.
const (
	Unknown End = iota // not recorded
	Served
	Refused  // 429 or 503
	Failed   // any other answer that is no service
	TimedOut // aborted by its client, or no answer
)

// Rule is what told a retry.
type Rule uint8

// The rules, the surest first.
const (
	None  Rule = iota
	Mark       // X-Retry: 1
	Key        // the same idempotency key
	Alike      // same client, target, direction and size, soon after a refusal or a time-out
	Rules
)

var ruleWords = [Rules]string{"none", "mark", "same key", "alike"}

func (r Rule) String() string {
	if r < Rules {
		return ruleWords[r]
	}
	return fmt.Sprint("rule ", uint8(r))
}

// Entry is one recorded request.
type Entry struct {
	At             time.Duration // its start
	Took           time.Duration // to its end; 0: not recorded
	Mark           bool
	Key            string // idempotency key; empty: none
	Client, Target string
	Write          bool
	Size           int64
	End            End
	RetryAfter     time.Duration // of a refusal; 0: not recorded
}

// Verdict is what an entry is.
type Verdict struct {
	Rule       Rule    // None: new work
	Of         uint64  // number of its first try, from 0, where Orphan is false
	Orphan     bool    // marked, and its first try is not among the entries held
	Confidence float64 // from 0 to 1
}

// Settings steer a Recognizer. An error names the field.
type Settings struct {
	Window      time.Duration // a retry comes within this of its first try's start
	AfterRefuse time.Duration // a likeness counts this long after a refusal's end, or its Retry-After and this
	AfterSilent time.Duration // ... or after a time-out's
	MostRetries int           // of one first try, by likeness
	Most        int           // entries held
}

// Defaults fit clients that retry once, at once or after a short wait.
func Defaults() Settings {
	return Settings{Window: 30 * time.Second, AfterRefuse: time.Second, AfterSilent: 500 * time.Millisecond, MostRetries: 1, Most: 1 << 16}
}

// Check names the field that is out of bounds.
func (s Settings) Check() error {
	switch {
	case s.Window <= 0:
		return fmt.Errorf("window: %v is no time", s.Window)
	case s.AfterRefuse < 0 || s.AfterRefuse > s.Window:
		return fmt.Errorf("after_refuse: %v is not from 0 to the window", s.AfterRefuse)
	case s.AfterSilent < 0 || s.AfterSilent > s.Window:
		return fmt.Errorf("after_silent: %v is not from 0 to the window", s.AfterSilent)
	case s.MostRetries < 1:
		return fmt.Errorf("most_retries: %d is not 1 or more", s.MostRetries)
	case s.Most < 1:
		return fmt.Errorf("most: %d is not 1 or more", s.Most)
	}
	return nil
}

// The confidences. A mark is the client's own word; a key may be used again by a client that has
// its answer; a likeness falls from the first to the second as the wait grows.
const (
	sureMark       = 1.0
	sureKey        = 0.95
	sureKeyServed  = 0.7
	sureAlike      = 0.9
	sureAlikeLeast = 0.5
	sureAlikeGuess = 0.6 // at most, where the first try's end was not recorded
)

// held is an entry that may be a first try.
type held struct {
	Entry
	number  uint64
	retries int
}

type alike struct {
	client, target string
	write          bool
	size           int64
}

// Recognizer takes entries one by one.
type Recognizer struct {
	set     Settings
	next    uint64
	queue   []*held // in the order of time, for the window
	byKey   map[string]*held
	byAlike map[alike]*held // the latest
	byPair  map[[2]string]*held
	stats   Stats
}

// Stats count what was found.
type Stats struct {
	Entries uint64
	By      [Rules]uint64
	Orphans uint64
	Early   uint64        // pushed out by the bound before the window was over
	Sum     float64       // of the confidences
	Back    uint64        // entries earlier than the one before: their time was taken as its
	Span    time.Duration // from the first entry to the last
}

// Mean is the mean confidence of the retries found.
func (s Stats) Mean() float64 {
	n := s.Entries - s.By[None]
	if n == 0 {
		return 0
	}
	return s.Sum / float64(n)
}

// New checks the settings and makes a recognizer.
func New(s Settings) (*Recognizer, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Recognizer{set: s, byKey: map[string]*held{}, byAlike: map[alike]*held{}, byPair: map[[2]string]*held{}}, nil
}

// Stats are those so far.
func (r *Recognizer) Stats() Stats { return r.stats }

// Held is how many entries are held.
func (r *Recognizer) Held() int { return len(r.queue) }

// Take takes the next entry and says what it is.
func (r *Recognizer) Take(e Entry) Verdict {
	if e.At < r.stats.Span {
		e.At = r.stats.Span
		r.stats.Back++
	}
	r.stats.Span = e.At
	r.expire(e.At)
	number := r.next
	r.next++
	v, first := r.judge(e)
	r.stats.Entries++
	r.stats.By[v.Rule]++
	if v.Rule != None {
		r.stats.Sum += v.Confidence
		if v.Orphan {
			r.stats.Orphans++
		} else {
			first.retries++
		}
		return v
	}
	r.hold(&held{Entry: e, number: number})
	return v
}

// judge tries the rules, the surest first.
func (r *Recognizer) judge(e Entry) (Verdict, *held) {
	byKey := r.byKey[e.Key]
	if e.Key == "" {
		byKey = nil
	}
	if e.Mark {
		first := byKey
		if first == nil && e.Key == "" { // an unkeyed one: by likeness, then by who asks for what
			if first = r.byAlike[e.likeness()]; first == nil {
				first = r.byPair[[2]string{e.Client, e.Target}]
			}
		}
		if first == nil {
			return Verdict{Rule: Mark, Orphan: true, Confidence: sureMark}, nil
		}
		return Verdict{Rule: Mark, Of: first.number, Confidence: sureMark}, first
	}
	if byKey != nil {
		sure := sureKey
		if byKey.End == Served {
			sure = sureKeyServed
		}
		return Verdict{Rule: Key, Of: byKey.number, Confidence: sure}, byKey
	}
	if e.Key != "" { // it has a key of its own: new work, whatever it is like
		return Verdict{}, nil
	}
	first := r.byAlike[e.likeness()]
	if first == nil || first.retries >= r.set.MostRetries {
		return Verdict{}, nil
	}
	return r.like(e, first)
}

// like weighs a likeness: how soon after the first try's end it came.
func (r *Recognizer) like(e Entry, first *held) (Verdict, *held) {
	var span time.Duration
	switch first.End {
	case Refused:
		span = first.RetryAfter + r.set.AfterRefuse
	case TimedOut:
		span = r.set.AfterSilent
	default: // served, failed or unknown: the same again is new work
		return Verdict{}, nil
	}
	gap := e.At - first.At - first.Took
	if gap < 0 || gap > span || span == 0 {
		return Verdict{}, nil
	}
	if first.RetryAfter > 0 && gap < first.RetryAfter*9/10 {
		return Verdict{}, nil // a client that keeps to the wait would not have come yet
	}
	sure := sureAlike - (sureAlike-sureAlikeLeast)*float64(gap)/float64(span)
	if first.Took == 0 {
		sure = min(sure, sureAlikeGuess) // its end is not known, only its start
	}
	return Verdict{Rule: Alike, Of: first.number, Confidence: sure}, first
}

func (e *Entry) likeness() alike { return alike{e.Client, e.Target, e.Write, e.Size} }

// hold keeps an entry as a possible first try.
func (r *Recognizer) hold(h *held) {
	if len(r.queue) >= r.set.Most {
		r.drop(r.queue[0])
		r.queue = r.queue[1:]
		r.stats.Early++
	}
	r.queue = append(r.queue, h)
	if h.Key != "" {
		r.byKey[h.Key] = h
	} else {
		r.byAlike[h.likeness()] = h
	}
	r.byPair[[2]string{h.Client, h.Target}] = h
}

// expire lets go of what is older than the window.
func (r *Recognizer) expire(now time.Duration) {
	n := 0
	for n < len(r.queue) && now-r.queue[n].At > r.set.Window {
		r.drop(r.queue[n])
		n++
	}
	r.queue = r.queue[n:]
}

func (r *Recognizer) drop(h *held) {
	if r.byKey[h.Key] == h {
		delete(r.byKey, h.Key)
	}
	if k := h.likeness(); r.byAlike[k] == h {
		delete(r.byAlike, k)
	}
	if k := [2]string{h.Client, h.Target}; r.byPair[k] == h {
		delete(r.byPair, k)
	}
}
