// Package retrydetect detects which recorded requests are a client's retries of earlier ones, and decides
// in a replay whether such a retry is to be sent. It reads no file and no clock. Entries must be added in
// order of their times.
//
// Invariants: a retry's first attempt is an earlier entry within the window and not a retry itself;
// similarity assigns at most MaxRetries retries to a first attempt; an entry without a retry header, a
// repeated key or a similar predecessor is not a retry; the number of entries kept is bounded, and early
// evictions are counted; in a replay, a retry whose first attempt the Gate tracks is sent only after that
// attempt has failed, and each retry is sent or skipped exactly once.
//
// The retry header (X-Retry) and the key (Idempotency-Key) are part of the platform's protocol. Similarity is
// a heuristic and is therefore counted separately and given a confidence.
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
	Rejected // 429 or 503
	Failed   // any other unsuccessful response
	TimedOut // aborted by the client, or no response
)

// Rule is the rule by which a retry was detected.
type Rule uint8

// The rules in order of decreasing confidence.
const (
	None        Rule = iota
	RetryHeader      // X-Retry: 1
	SameKey          // the same idempotency key
	Similar          // same client, target, direction and size, soon after a rejection or a timeout
	NumRules
)

var ruleTexts = [NumRules]string{"none", "mark", "same key", "alike"}

func (r Rule) String() string {
	if r < NumRules {
		return ruleTexts[r]
	}
	return fmt.Sprint("rule ", uint8(r))
}

// Entry is one recorded request.
type Entry struct {
	At             time.Duration // start
	Duration       time.Duration // until the end; 0: not recorded
	RetryHeader    bool
	Key            string // idempotency key; empty: none
	Client, Target string
	Write          bool
	Size           int64
	End            End
	RetryAfter     time.Duration // of a rejection; 0: not recorded
}

// Verdict is the classification of an entry.
type Verdict struct {
	Rule         Rule    // None: a new request
	FirstAttempt uint64  // number of the first attempt, counted from 0; valid if Orphan is false
	Orphan       bool    // has the retry header, but its first attempt is not among the entries kept
	Confidence   float64 // from 0 to 1
}

// Settings configure a Detector.
type Settings struct {
	Window         time.Duration // maximum time from the first attempt's start to a retry, by any rule
	AfterRejection time.Duration // maximum time of a similar request after a rejection and its Retry-After
	AfterTimeout   time.Duration // maximum time of a similar request after a timeout
	MaxRetries     int           // of one first attempt, by similarity
	MaxEntries     int           // entries kept
}

// Defaults returns settings for clients that retry once, immediately or after a short wait.
func Defaults() Settings {
	return Settings{Window: 30 * time.Second, AfterRejection: time.Second, AfterTimeout: 500 * time.Millisecond, MaxRetries: 1, MaxEntries: 1 << 16}
}

// Check returns an error that names the first field out of bounds.
func (s Settings) Check() error {
	switch {
	case s.Window <= 0:
		return fmt.Errorf("window: %v is not positive", s.Window)
	case s.AfterRejection < 0 || s.AfterRejection > s.Window:
		return fmt.Errorf("after_rejection: %v is not between 0 and the window", s.AfterRejection)
	case s.AfterTimeout < 0 || s.AfterTimeout > s.Window:
		return fmt.Errorf("after_timeout: %v is not between 0 and the window", s.AfterTimeout)
	case s.MaxRetries < 1:
		return fmt.Errorf("max_retries: %d is less than 1", s.MaxRetries)
	case s.MaxEntries < 1:
		return fmt.Errorf("max_entries: %d is less than 1", s.MaxEntries)
	}
	return nil
}

// Confidences by rule. The retry header comes from the client itself. A key may be reused by a client that
// has already received a response. The confidence of similarity falls linearly from maxConfidenceSimilar to
// minConfidenceSimilar as the time since the first attempt's end grows.
const (
	confidenceRetryHeader = 1.0
	confidenceKey         = 0.95
	confidenceKeyServed   = 0.7
	maxConfidenceSimilar  = 0.9
	minConfidenceSimilar  = 0.5
	maxConfidenceNoEnd    = 0.6 // upper bound if the first attempt's end was not recorded
)

// candidate is an entry that may be a first attempt.
type candidate struct {
	Entry
	number  uint64 // position among all entries, from 0
	retries int    // detected so far
}

type similarityKey struct {
	client, target string
	write          bool
	size           int64
}

// Detector classifies entries one by one.
type Detector struct {
	settings       Settings
	next           uint64
	queue          []*candidate                 // in order of time, for the window
	byKey          map[string]*candidate        // the latest entry with each key
	bySimilarity   map[similarityKey]*candidate // the latest entry without a key for each
	byClientTarget map[[2]string]*candidate     // the latest entry with each client and target
	stats          Stats
}

// Stats are a detector's counters.
type Stats struct {
	Entries        uint64
	ByRule         [NumRules]uint64
	Orphans        uint64
	EarlyEvictions uint64        // entries evicted by the bound before the end of their window
	ConfidenceSum  float64       // sum of the confidences
	OutOfOrder     uint64        // entries earlier than their predecessor, whose time was used instead
	Span           time.Duration // from the first entry to the last
}

// MeanConfidence returns the mean confidence of the detected retries.
func (s Stats) MeanConfidence() float64 {
	n := s.Entries - s.ByRule[None]
	if n == 0 {
		return 0
	}
	return s.ConfidenceSum / float64(n)
}

// New checks the settings and creates a detector.
func New(s Settings) (*Detector, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Detector{settings: s, byKey: map[string]*candidate{}, bySimilarity: map[similarityKey]*candidate{}, byClientTarget: map[[2]string]*candidate{}}, nil
}

// Stats returns the counters so far.
func (d *Detector) Stats() Stats { return d.stats }

// Len returns the number of entries kept.
func (d *Detector) Len() int { return len(d.queue) }

// Add adds the next entry and returns its classification.
func (d *Detector) Add(e Entry) Verdict {
	if e.At < d.stats.Span {
		e.At = d.stats.Span
		d.stats.OutOfOrder++
	}
	d.stats.Span = e.At
	d.expire(e.At)
	number := d.next
	d.next++
	v, first := d.classify(e)
	d.stats.Entries++
	d.stats.ByRule[v.Rule]++
	if v.Rule != None {
		d.stats.ConfidenceSum += v.Confidence
		if v.Orphan {
			d.stats.Orphans++
		} else {
			first.retries++
		}
		return v
	}
	d.keep(&candidate{Entry: e, number: number})
	return v
}

// classify tries the rules in order of decreasing confidence.
func (d *Detector) classify(e Entry) (Verdict, *candidate) {
	byKey := d.byKey[e.Key]
	if e.Key == "" {
		byKey = nil
	}
	if e.RetryHeader {
		first := byKey
		if first == nil && e.Key == "" { // without a key: by similarity, then by client and target
			if first = d.bySimilarity[e.similarity()]; first == nil {
				first = d.byClientTarget[[2]string{e.Client, e.Target}]
			}
		}
		if first == nil {
			return Verdict{Rule: RetryHeader, Orphan: true, Confidence: confidenceRetryHeader}, nil
		}
		return Verdict{Rule: RetryHeader, FirstAttempt: first.number, Confidence: confidenceRetryHeader}, first
	}
	if byKey != nil {
		confidence := confidenceKey
		if byKey.End == Served {
			confidence = confidenceKeyServed
		}
		return Verdict{Rule: SameKey, FirstAttempt: byKey.number, Confidence: confidence}, byKey
	}
	if e.Key != "" { // a new key means a new request, whatever it is similar to
		return Verdict{}, nil
	}
	first := d.bySimilarity[e.similarity()]
	if first == nil || first.retries >= d.settings.MaxRetries {
		return Verdict{}, nil
	}
	return d.classifySimilar(e, first)
}

// classifySimilar decides on a similar entry by the time since the first attempt's end.
func (d *Detector) classifySimilar(e Entry, first *candidate) (Verdict, *candidate) {
	var limit time.Duration
	switch first.End {
	case Rejected:
		limit = first.RetryAfter + d.settings.AfterRejection
	case TimedOut:
		limit = d.settings.AfterTimeout
	default: // served, failed or unknown: an equal request is a new one
		return Verdict{}, nil
	}
	gap := e.At - first.At - first.Duration
	if gap < 0 || gap > limit || limit == 0 {
		return Verdict{}, nil
	}
	if first.RetryAfter > 0 && gap < first.RetryAfter*9/10 {
		return Verdict{}, nil // a client that respects Retry-After would not have retried yet; a tenth early is tolerated
	}
	confidence := maxConfidenceSimilar - (maxConfidenceSimilar-minConfidenceSimilar)*float64(gap)/float64(limit)
	if first.Duration == 0 {
		confidence = min(confidence, maxConfidenceNoEnd) // only the start is known, not the end
	}
	return Verdict{Rule: Similar, FirstAttempt: first.number, Confidence: confidence}, first
}

func (e *Entry) similarity() similarityKey { return similarityKey{e.Client, e.Target, e.Write, e.Size} }

// keep keeps an entry as a possible first attempt.
func (d *Detector) keep(c *candidate) {
	if len(d.queue) >= d.settings.MaxEntries {
		d.drop(d.queue[0])
		d.queue = d.queue[1:]
		d.stats.EarlyEvictions++
	}
	d.queue = append(d.queue, c)
	if c.Key != "" {
		d.byKey[c.Key] = c
	} else {
		d.bySimilarity[c.similarity()] = c
	}
	d.byClientTarget[[2]string{c.Client, c.Target}] = c
}

// expire drops entries older than the window.
func (d *Detector) expire(now time.Duration) {
	n := 0
	for n < len(d.queue) && now-d.queue[n].At > d.settings.Window {
		d.drop(d.queue[n])
		n++
	}
	d.queue = d.queue[n:]
}

func (d *Detector) drop(c *candidate) {
	if d.byKey[c.Key] == c {
		delete(d.byKey, c.Key)
	}
	if k := c.similarity(); d.bySimilarity[k] == c {
		delete(d.bySimilarity, k)
	}
	if k := [2]string{c.Client, c.Target}; d.byClientTarget[k] == c {
		delete(d.byClientTarget, k)
	}
}
