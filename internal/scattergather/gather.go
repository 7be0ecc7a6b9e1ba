// Package scattergather requests the parts of a gathered read and ends the read with one final answer. Gather makes the decisions,
// without I/O, clock or goroutines: it is given the time and events, and returns which attempts to start and to cancel. Run
// executes these decisions.
//
// Invariants:
//
//	S1  There is one final answer. It does not change, and no attempt starts after it.
//	S2  No attempt starts while MaxConcurrentParts attempts are in flight. An attempt whose bytes wait for memory of the merge does
//	    not count.
//	S3  No attempt starts after the parts' deadline, which is the client's deadline less the merge's share of the time.
//	S4  A part that may have been executed is retried only if the class is idempotent.
//	S5  A part has at most 1+MaxRetries attempts. In addition it has at most maxRowLimitRaises attempts after reaching a row limit, and
//	    maxUncountedRejections attempts after rejections once rows were sent, each after a longer backoff.
//	S6  A rejected part is not retried before its Retry-After.
//	S7  At the final answer each attempt has ended or is cancelled.
//	S8  The rows are those of the flat merge, or the answer names the missing parts.
//	S10 An attempt names those attempts of its part that failed, were rejected or are in flight, so that their nodes can be avoided.
//	    Attempts that reached a row limit are not among them.
//	S9  The final answer is given at the client's deadline at the latest.
//	S11 A read is rejected only if the class is idempotent or no part may have been executed. The same holds for what the answer says of
//	    a part.
package scattergather

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"wheatsaddle/gather"
)

const (
	maxRowLimitRaises      = 20 // attempts with a raised row limit, which doubles each time
	maxConfigurableRetries = 16
	maxConcurrentAttempts  = 2 // of one part

	maxUncountedRejections = 20 // rejections of a part that do not count as attempts
	minRejectionBackoff    = 10 * time.Millisecond
	maxBackoffDoublings    = 6 // of the backoff after an uncounted rejection

	framesPerBatch = 64 // rows of a partial result between two checks of its length
)

// Rules are the rules of one class of gathered reads.
type Rules struct {
	Merge              *gather.Rules
	MergeTimeShare     float64       // share of the client's timeout that is reserved for the merge, at least 0 and less than 1
	MaxConcurrentParts int           // limit of attempts in flight
	MaxRetries         int           // retries of a part, without its first attempt
	SilenceTimeout     time.Duration // a second attempt starts after this time without a byte from the only one in flight; 0: never
	Idempotent         bool          // the class is idempotent
}

// Attempt is one attempt of a part.
type Attempt struct {
	Part         gather.Part
	Number       int           // counts from 1 in each part
	Deadline     time.Duration // the parts' deadline, as a time since the arrival of the client's request
	Rows         int           // row limit, from the part's start; 0: all rows
	Peer         string        // of a group: the peer that gathers it; "": this process
	AvoidNodesOf []int         // numbers of the attempts that failed, were rejected or are in flight, newest first: another node is to be used
}

// Action starts or cancels an attempt.
type Action struct {
	Attempt
	Cancel bool
}

// FinalKind is how a gathered read ended.
type FinalKind uint8

// The kinds of a final answer.
const (
	Served             FinalKind = iota // Result says whether it is complete, and which parts are missing
	EndedEarly                          // it ended early with Result.Err
	Rejected                            // no row was sent, all missing parts were rejected, and a repeat is no second run
	DeadlineExceeded                    // the client's deadline passed first
	ClientDisconnected                  // the client disconnected
	Invalid                             // it could not start because of Err
)

// Final is the final answer of a gathered read.
type Final struct {
	Kind       FinalKind
	RetryAfter time.Duration // of a rejected read
	Result     gather.Result
	Limited    bool  // a partial result that stopped at its row limit; there may be more rows
	Err        error // of an invalid read
}

type attemptState struct {
	number         int
	consumed       int64         // bytes consumed
	lastActivity   time.Duration // start, or time of the last bytes
	blocked        bool          // some of its bytes wait for memory of the merge
	takeoverAt     time.Duration // of a group: end of its share of the time
	raisesRowLimit bool          // it has a raised row limit
}

type partState struct {
	gather.Part
	inFlight            []attemptState
	lastNumber          int // number of the newest attempt
	attempts            int // without those that raise the row limit
	rowLimitRaises      int
	permanentError      bool // the last error excludes a retry
	consumed            int64
	mayHaveRun          bool          // an attempt may have been executed
	limited             bool          // it stopped at its row limit
	finished            bool          // it is complete or was dropped
	notBefore           time.Duration // time of its Retry-After
	uncountedRejections int           // rejections that did not count as attempts
	lastErr             error
	failedAttempts      []int           // their numbers
	group               *delegatedGroup // nil: requested by this process
}

type fault uint8 // a defect that a test injects to verify that its checks find it

const (
	faultNone fault = iota
	faultIgnoreDeadline
	faultIgnoreConcurrencyLimit
	faultIgnorePartsDeadline
	faultRetryNonIdempotent
	faultIgnoreMaxRetries
	faultIgnoreRetryAfter
	faultNoCancel
	faultHideLoss
	faultChangeFinal
	faultNoAvoidedNodes
	faultRejectAfterRun
)

// Gather is one gathered read. It must not be used by several goroutines at once.
type Gather struct {
	rules              Rules
	merge              *gather.Merge
	parts              []*partState
	byID               map[string]*partState
	deadline           time.Duration
	partsDeadline      time.Duration
	pastPartsDeadline  bool
	clientDisconnected bool
	final              *Final
	wakeAt             time.Duration
	actions            []Action
	pendingCancels     []Action // since the last Step
	demands            map[string]gather.Demand
	rowsSent           bool
	partial            bool // rows are encoded as a partial result, for another merge
	maxRows            int  // row limit of a partial result; 0: none
	partialRows        int  // rows of the partial result so far
	fault              fault
	delegationRules    DelegationRules
	delegationFault    delegationFault
}

// New starts a gathered read whose client waits for timeout. Its errors are *InvalidRules and those of gather.New.
func New(r Rules, timeout time.Duration, parts []gather.Part, opts ...gather.Option) (*Gather, error) {
	switch {
	case r.Merge == nil:
		return nil, &InvalidRules{"merge", "is missing"}
	case !(r.MergeTimeShare >= 0 && r.MergeTimeShare < 1):
		return nil, &InvalidRules{"share", "is not from 0 to less than 1"}
	case r.MaxConcurrentParts < 1:
		return nil, &InvalidRules{"at_once", "is not a positive number"}
	case r.MaxRetries < 0 || r.SilenceTimeout < 0:
		return nil, &InvalidRules{"again, silent", "is negative"}
	case r.MaxRetries > maxConfigurableRetries:
		return nil, &InvalidRules{"again", fmt.Sprintf("is over %d", maxConfigurableRetries)}
	}
	m, err := gather.New(r.Merge, parts, opts...)
	if err != nil {
		return nil, err
	}
	g := &Gather{rules: r, merge: m, byID: map[string]*partState{}, deadline: timeout, demands: map[string]gather.Demand{}}
	g.partsDeadline = timeout - time.Duration(r.MergeTimeShare*float64(timeout))
	for _, p := range parts {
		q := &partState{Part: p}
		g.parts, g.byID[p.ID] = append(g.parts, q), q
	}
	return g, nil
}

func (p *partState) findAttempt(number int) int {
	return slices.IndexFunc(p.inFlight, func(a attemptState) bool { return a.number == number })
}

// Receive takes bytes of an attempt and returns how many were consumed; the rest has to wait for memory of the merge. Bytes of a
// cancelled attempt are consumed and discarded.
func (g *Gather) Receive(now time.Duration, id string, number int, data []byte) int {
	p := g.byID[id]
	i := p.findAttempt(number)
	if i < 0 || g.final != nil {
		return len(data)
	}
	a := &p.inFlight[i]
	a.lastActivity = now
	if p.finished {
		return len(data)
	}
	g.refreshDemands()
	room := int64(0)
	if d, ok := g.demands[id]; ok {
		room = int64(d.Bytes)
	}
	n := int(min(int64(len(data)), p.consumed-a.consumed+room))
	a.blocked = n < len(data)
	if n == 0 {
		return 0
	}
	if err := g.merge.Add(id, number, data[:n]); err != nil {
		g.pendingCancels = append(g.pendingCancels, Action{Attempt: Attempt{Part: p.Part, Number: number}, Cancel: true})
		p.mayHaveRun, p.inFlight = true, slices.Delete(p.inFlight, i, i+1) // its bytes diverge; the merge has recorded the conflict
		p.failedAttempts = append(p.failedAttempts, number)
		p.lastErr = err
		return len(data)
	}
	a.consumed += int64(n)
	p.consumed = max(p.consumed, a.consumed)
	return n
}

// AttemptEnded records how an attempt ended: nil if complete, *Rejection if it was not executed, *gather.Limited if it stopped at its
// row limit.
func (g *Gather) AttemptEnded(now time.Duration, id string, number int, err error) {
	p := g.byID[id]
	i := p.findAttempt(number)
	if g.fault == faultChangeFinal && i < 0 && g.final != nil { // injected fault: a late event changes the final answer
		g.final.Kind = EndedEarly
	}
	if i < 0 || g.final != nil {
		return
	}
	raisesRowLimit := p.inFlight[i].raisesRowLimit
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
	if p.finished {
		return
	}
	var rejection *Rejection
	if errors.As(err, &rejection) { // nodes may have received it: a request of an idempotent class is also rejected if its attempts on nodes failed
		p.failedAttempts = append(p.failedAttempts, number)
		wait := rejection.RetryAfter
		if g.rowsSent && p.uncountedRejections < maxUncountedRejections { // not executed, and the client already has rows of a result that lacks this part
			wait = max(wait, minRejectionBackoff<<min(p.uncountedRejections, maxBackoffDoublings))
			if p.uncountedRejections++; raisesRowLimit {
				p.rowLimitRaises--
			} else {
				p.attempts--
			}
		}
		p.notBefore = max(p.notBefore, now+wait)
		p.lastErr = err
		return
	}
	p.mayHaveRun = true
	p.limited = errors.As(err, new(*gather.Limited))
	if err != nil && !p.limited {
		p.failedAttempts = append(p.failedAttempts, number)
	}
	p.permanentError = isPermanent(err)
	g.takeBackLostParts(p, err)
	if mergeErr := g.merge.End(id, number, err); mergeErr != nil {
		err = mergeErr
	} else if err == nil {
		p.finished = true
	}
	p.lastErr = err
}

// ClientDisconnected records that the client disconnected.
func (g *Gather) ClientDisconnected() { g.clientDisconnected = true }

// Next returns the next row to send. It is valid until the next call.
func (g *Gather) Next() ([]byte, bool) {
	if g.final != nil || g.clientDisconnected {
		return nil, false
	}
	row, ok := g.merge.Next()
	g.rowsSent = g.rowsSent || ok
	return row, ok
}

// SetPartial makes the result a partial result of at most rows rows; 0: unlimited.
func (g *Gather) SetPartial(rows int) { g.partial, g.maxRows = true, rows }

// Append appends rows to dst until it has maxBytes bytes, or slightly more: in the rules' form, or encoded for a partial result.
func (g *Gather) Append(dst []byte, maxBytes int) []byte {
	for len(dst) < maxBytes && g.final == nil && !g.clientDisconnected {
		if !g.partial {
			row, ok := g.Next()
			if !ok {
				return dst
			}
			dst = g.rules.Merge.AppendRow(dst, row)
			continue
		}
		n, at := framesPerBatch, len(dst)
		if g.maxRows > 0 {
			n = min(n, g.maxRows-g.partialRows)
		}
		if n == 0 {
			return dst
		}
		dst, _ = g.merge.AppendPartial(dst, n)
		got := countRows(dst[at:])
		g.rowsSent = g.rowsSent || got > 0
		if g.partialRows += got; got < n { // the merge waits for parts or has ended
			return dst
		}
	}
	return dst
}

// countRows returns how many frames of an encoded partial result are rows or groups of rows.
func countRows(frames []byte) (n int) {
	for len(frames) > 4 {
		if frames[4] == 'R' || frames[4] == 'G' {
			n++
		}
		frames = frames[4+binary.BigEndian.Uint32(frames):]
	}
	return n
}

// Room returns how many bytes of a part the merge can accept now.
func (g *Gather) Room(id string) int {
	g.refreshDemands()
	return g.demands[id].Bytes
}

// Final returns the final answer, if there is one.
func (g *Gather) Final() (Final, bool) {
	if g.final == nil {
		return Final{}, false
	}
	return *g.final, true
}

// WakeAt returns when Step has to be called again if no event comes before.
func (g *Gather) WakeAt() time.Duration { return g.wakeAt }

func (g *Gather) refreshDemands() []gather.Demand {
	all := g.merge.Want()
	clear(g.demands)
	for _, d := range all {
		g.demands[d.Part] = d
	}
	return all
}

// Step returns the attempts to start and to cancel now. It is called after Next has no more rows. The slice is valid until the next call.
func (g *Gather) Step(now time.Duration) []Action {
	g.actions = append(g.actions[:0], g.pendingCancels...)
	g.pendingCancels = g.pendingCancels[:0]
	g.wakeAt = g.deadline
	if g.final != nil {
		return nil
	}
	switch {
	case g.clientDisconnected:
		g.merge.Leave()
		g.finish(ClientDisconnected)
	case g.maxRows > 0 && g.partialRows >= g.maxRows:
		g.finish(Served)
		g.final.Limited = true
	case !slices.ContainsFunc(g.refreshDemands(), func(d gather.Demand) bool { return !d.Stop }) && g.merge.Result().Done:
		g.finish(Served)
	case now >= g.deadline && g.fault != faultIgnoreDeadline:
		g.finish(DeadlineExceeded)
	}
	if g.final != nil {
		return g.actions
	}
	if now < g.partsDeadline {
		g.wakeAt = g.partsDeadline
	} else {
		g.pastPartsDeadline = true
	}
	g.refreshDemands()
	for _, first := range []bool{true, false} { // parts that the merge waits for go first
		for _, p := range g.parts {
			if d, ok := g.demands[p.ID]; !ok && first {
				g.cancelUnneeded(p)
			} else if ok && d.First == first {
				g.schedulePart(now, p, d)
			}
		}
	}
	return g.actions
}

// cancelUnneeded cancels the attempts of a part that is no longer needed.
func (g *Gather) cancelUnneeded(p *partState) {
	if p.limited && !p.finished { // the part may be needed again
		return
	}
	for p.finished = true; len(p.inFlight) > 0; {
		g.cancelAttempt(p, 0)
	}
}

func (g *Gather) schedulePart(now time.Duration, p *partState, demand gather.Demand) {
	if g.pastPartsDeadline && g.fault != faultIgnorePartsDeadline {
		for i := len(p.inFlight) - 1; i >= 0; i-- {
			if !p.inFlight[i].blocked {
				g.cancelAttempt(p, i)
			}
		}
		if len(p.inFlight) > 0 { // its bytes have arrived and only wait for the merge
			return
		}
		why := p.lastErr
		if why == nil || p.limited || errors.As(why, new(*Rejection)) && !g.mayRejectPart(p) {
			why = &PartDeadlineExceeded{p.ID}
		}
		g.dropPart(p, why)
		return
	}
	if p.group != nil {
		g.scheduleGroup(now, p, demand)
		return
	}
	if len(p.inFlight) > 0 {
		a := &p.inFlight[0]
		if g.rules.SilenceTimeout == 0 || len(p.inFlight) >= maxConcurrentAttempts || a.blocked || !g.mayAttempt(p) || !g.rules.Idempotent {
			return
		}
		if at := max(a.lastActivity+g.rules.SilenceTimeout, p.notBefore); now < at {
			g.wakeAt = min(g.wakeAt, at)
			return
		}
		g.startAttempt(now, p, demand, false)
		return
	}
	raisesRowLimit := p.limited && g.rules.Idempotent && p.rowLimitRaises < maxRowLimitRaises
	switch {
	case !raisesRowLimit && !g.mayAttempt(p):
		g.dropPart(p, p.lastErr)
	case p.notBefore >= g.partsDeadline && g.fault != faultIgnoreRetryAfter:
		g.dropPart(p, p.lastErr)
	case now < p.notBefore && g.fault != faultIgnoreRetryAfter:
		g.wakeAt = min(g.wakeAt, p.notBefore)
	default:
		g.startAttempt(now, p, demand, raisesRowLimit)
	}
}

// mayRejectPart reports whether a part may be reported as rejected: a repeat of it is no second run.
func (g *Gather) mayRejectPart(p *partState) bool {
	return g.rules.Idempotent || !p.mayHaveRun || g.fault == faultRejectAfterRun
}

// mayReject reports whether the read may be rejected.
func (g *Gather) mayReject() bool {
	return !slices.ContainsFunc(g.parts, func(p *partState) bool { return !g.mayRejectPart(p) })
}

// mayAttempt reports whether another attempt of the part is allowed.
func (g *Gather) mayAttempt(p *partState) bool {
	switch {
	case p.attempts == 0:
		return true
	case p.permanentError:
		return false
	case p.attempts > g.rules.MaxRetries && g.fault != faultIgnoreMaxRetries:
		return false
	}
	return g.rules.Idempotent || !p.mayHaveRun || g.fault == faultRetryNonIdempotent
}

func (g *Gather) startAttempt(now time.Duration, p *partState, demand gather.Demand, raisesRowLimit bool) {
	if g.activeAttempts() >= g.rules.MaxConcurrentParts && g.fault != faultIgnoreConcurrencyLimit {
		return
	}
	p.lastNumber++
	if raisesRowLimit {
		p.rowLimitRaises++
	} else {
		p.attempts++
	}
	a := Attempt{Part: p.Part, Number: p.lastNumber, Deadline: g.partsDeadline}
	if g.fault != faultNoAvoidedNodes {
		a.AvoidNodesOf = slices.Clone(p.failedAttempts)
		for _, x := range p.inFlight {
			a.AvoidNodesOf = append(a.AvoidNodesOf, x.number)
		}
		slices.SortFunc(a.AvoidNodesOf, func(a, b int) int { return b - a })
	}
	if g.rules.Idempotent { // a non-idempotent part could not be requested again for more rows
		a.Rows = demand.Rows
	}
	p.inFlight = append(p.inFlight, attemptState{number: p.lastNumber, lastActivity: now, raisesRowLimit: raisesRowLimit})
	if g.rules.SilenceTimeout > 0 {
		g.wakeAt = min(g.wakeAt, now+g.rules.SilenceTimeout)
	}
	g.actions = append(g.actions, Action{Attempt: a})
}

// activeAttempts returns the number of attempts that may still deliver bytes, without those of groups.
func (g *Gather) activeAttempts() (n int) {
	for _, p := range g.parts {
		if p.group != nil {
			continue
		}
		for _, a := range p.inFlight {
			if !a.blocked {
				n++
			}
		}
	}
	return n
}

func (g *Gather) cancelAttempt(p *partState, i int) {
	if a := p.inFlight[i]; g.fault != faultNoCancel {
		g.actions = append(g.actions, Action{Attempt: Attempt{Part: p.Part, Number: a.number}, Cancel: true})
	}
	p.mayHaveRun = true
	p.inFlight = slices.Delete(p.inFlight, i, i+1)
}

func (g *Gather) dropPart(p *partState, why error) {
	p.finished = true
	if g.fault == faultHideLoss { // injected fault: a lost part is reported as ended
		_ = g.merge.End(p.ID, p.lastNumber+1, nil)
		return
	}
	_ = g.merge.Drop(p.ID, why) // cannot fail: the part is known
	g.wakeAt = 0                // rows may be available now
}

// finish makes the final answer.
func (g *Gather) finish(kind FinalKind) {
	for _, p := range g.parts {
		for len(p.inFlight) > 0 {
			g.cancelAttempt(p, 0)
		}
	}
	f := Final{Kind: kind, Result: g.merge.Result()}
	if kind == Served && f.Result.Err != nil {
		f.Kind = EndedEarly
		allRejected := f.Result.Rows == 0 && errors.As(f.Result.Err, new(*gather.Incomplete)) && g.mayReject()
		for _, s := range f.Result.Parts {
			var rejection *Rejection
			if allRejected = allRejected && errors.As(s.Why, &rejection); allRejected {
				f.RetryAfter = max(f.RetryAfter, rejection.RetryAfter)
			}
		}
		if allRejected {
			f.Kind = Rejected
		} else {
			f.RetryAfter = 0
		}
	}
	g.final = &f
}
