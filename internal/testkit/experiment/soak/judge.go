package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

const (
	ruleLost    = "each request that was read gets an answer"
	ruleMemory  = "resident memory stays under the limit"
	ruleExit    = "after SIGTERM the process exits with code 0 before the earliest SIGKILL"
	ruleRuns    = "the process does not end by itself"
	ruleReady   = "a started process is ready in time"
	ruleRhythm  = "a sound answer is served whatever the rhythm of its node"
	ruleServed  = "without faults sound requests are served"
	finalSlack  = 500 * time.Millisecond // after a request's time, for its final answer
	aroundAKill = 100 * time.Millisecond // a client may notice a kill so much later
	relayedSize = 64 << 10               // bytes; a longer answer may be passed on before it is complete
	minSound    = 0.9                    // share of sound requests that are served without faults
	fewSound    = 50                     // requests; a share of fewer is not judged
	maxExamples = 12                     // of requests that were not served
	bytesPerMB  = 1_000_000
)

// Ends counts how requests ended.
type Ends struct {
	Served, Rejected, Failed int // answers with code 200, with 503, and others
	CutOff                   int // long answers that ended incomplete, for a reason that the scenario gives
	ClosedUnread             int // no node got them, and their connection ended: the client sends them again
	Killed                   int // open at a SIGKILL
	Left                     int // their client closed its connection
	Incomplete               int // the request was not written to its end
}

// interruption is a time in which a process ended or another one began to serve.
type interruption struct {
	from, to time.Time // to: a process is ready
	killed   bool      // by a SIGKILL without a SIGTERM before
}

func (i interruption) overlaps(from, to time.Time) bool {
	return from.Before(i.to.Add(aroundAKill)) && to.After(i.from.Add(-aroundAKill))
}

// judge compares what clients and nodes saw.
type judge struct {
	scenario      Scenario
	nodes         []*pacednode.Node
	interruptions []interruption
	burstEndedAt  time.Time // of the clients that leave, which send many requests at once; zero: there was none
	broken        *breaches
	ends          Ends
	sound, served int           // sound requests outside of interruptions
	unserved      []sentRequest // the others of them
	// transfers are sound requests and answers that rest, outside of interruptions, and transfersServed those that were served.
	transfers, transfersServed int
}

// judgeAll judges the requests of the traffic.
func (j *judge) judgeAll(sent []sentRequest) {
	for _, r := range sent {
		j.judge(r)
	}
	j.checkUnsafeWrites()
	if j.scenario.isCalm() && j.sound >= fewSound && float64(j.served) < minSound*float64(j.sound) {
		var examples []string
		for _, r := range j.unserved[:min(len(j.unserved), maxExamples)] {
			examples = append(examples, fmt.Sprintf("%s: code %d after %v", j.describe(r), r.Code, r.EndedAt.Sub(r.SentAt).Round(time.Millisecond)))
		}
		j.broken.add(ruleServed, "%d of %d; %s", j.served, j.sound, strings.Join(examples, "; "))
	}
}

func (j *judge) judge(r sentRequest) {
	j.judgeTransfer(r)
	switch {
	case !r.closedAt.IsZero():
		j.ends.Left++
		j.checkLeft(r)
		return
	case r.SentAt.IsZero() && r.Code == 0:
		j.ends.Incomplete++
		return
	case r.Code == 0:
		j.judgeUnanswered(r)
		return
	case !r.Complete:
		j.judgeCutOff(r)
	case r.Code == 200:
		j.ends.Served++
	case r.Rejected():
		j.ends.Rejected++
	default:
		j.ends.Failed++
	}
	j.checkTime(r)
	if r.sound && !j.interrupted(r, false) && r.SentAt.After(j.burstEndedAt) {
		j.sound++
		if r.Served() {
			j.served++
		} else {
			j.unserved = append(j.unserved, r)
		}
	}
}

// judgeTransfer checks that a transfer which is sound is served, if its node has got it: nobody but the daemon can have ended it.
func (j *judge) judgeTransfer(r sentRequest) {
	if !r.transfer || !r.closedAt.IsZero() || r.SentAt.IsZero() || !j.scenario.isCalm() || j.interrupted(r, false) || !j.isSoundTransfer(&r.Request) {
		return
	}
	if !j.wasReceived(r.ID) {
		return // rejected before its first attempt
	}
	j.transfers++
	if r.Served() && r.Outcome.Body == r.Script.Size {
		j.transfersServed++
		return
	}
	j.broken.add(ruleRhythm, "%s; %s: code %d, %d bytes after %v, %v", r.Request.describe(), j.describe(r), r.Code, r.Outcome.Body, r.EndedAt.Sub(r.SentAt), r.Err)
}

// isSoundTransfer reports whether a transfer comes in time, and its node shows in time that it makes progress: where cancels are allowed,
// a request of which the node's machine holds all is cancelled at the objective if its node is silent.
func (j *judge) isSoundTransfer(r *Request) bool {
	if !r.isSound() {
		return false
	}
	unseen := r.Script.Work
	if r.Body <= relayedSize {
		unseen += r.Script.ReadTime(r.Body)
	}
	return j.scenario.Ceilings.NoCancels || unseen <= j.scenario.Objective-soundMargin
}

// checkTime checks that the answer came in time. A long answer counts by its first byte, as its node may write it slowly.
func (j *judge) checkTime(r sentRequest) {
	waitedForAProcess := j.scenario.PassedSocket && !r.reused && j.interrupted(r, true)
	if r.SentAt.IsZero() || waitedForAProcess {
		return
	}
	end := r.EndedAt
	if r.isLong() || r.isOfUnknownLength(r.Outcome) {
		end = r.FirstByteAt
	}
	if took := end.Sub(r.SentAt); took > r.Deadline+finalSlack {
		j.broken.add(ruleFinal, "%s: code %d after %v", j.describe(r), r.Code, took)
	}
}

// judgeUnanswered judges a request that was written to its end and got no byte of an answer.
func (j *judge) judgeUnanswered(r sentRequest) {
	received := j.wasReceived(r.ID)
	switch {
	case j.interrupted(r, true):
		j.ends.Killed++
	case !received && (r.reused || j.interrupted(r, false) || j.scenario.Pictures[Crowds]), j.scenario.breaksClients():
		j.ends.ClosedUnread++
	default:
		j.broken.add(ruleLost, "%s: %v after %v, received by a node: %v", j.describe(r), r.Err, r.EndedAt.Sub(r.SentAt), received)
	}
}

// judgeCutOff judges an answer that ended incomplete.
func (j *judge) judgeCutOff(r sentRequest) {
	mayBeLong := r.isLong() || r.Script.Framing != "" && r.Script.Framing != pacednode.Length
	switch {
	case j.interrupted(r, true):
		j.ends.Killed++
	case mayBeLong && (j.scenario.cutsConnections() || j.interrupted(r, false)), j.scenario.breaksClients():
		j.ends.CutOff++
	default:
		j.broken.add(ruleCutOff, "%s: code %d, %d bytes, %v after %v", j.describe(r), r.Code, r.Outcome.Body, r.Err, r.EndedAt.Sub(r.SentAt))
	}
}

// checkLeft checks that no attempt began late after the client had left.
func (j *judge) checkLeft(r sentRequest) {
	if j.scenario.hasLinkFaults() { // an attempt may reach its node late
		return
	}
	for _, n := range j.nodes {
		for _, a := range n.Attempts(r.ID) {
			if late := a.BeganAt.Sub(r.closedAt); late > lateAttempt {
				j.broken.add(ruleLeft, "%s: began %v after the close", j.describe(r), late)
			}
		}
	}
}

// checkUnsafeWrites checks that no request ran twice whose class may not be repeated.
func (j *judge) checkUnsafeWrites() {
	runs := map[string]int{}
	for _, n := range j.nodes {
		n.EachRequest(func(id string, attempts []pacednode.Attempt) {
			for _, a := range attempts {
				if a.Class == ClassWrite && !a.ReceivedAt.IsZero() {
					runs[id]++
				}
			}
		})
	}
	for id, count := range runs {
		if count > 1 {
			j.broken.add(ruleOnce, "%s ran %d times", id, count)
		}
	}
}

// interrupted reports whether a process ended while the request was open; by a kill alone, if killed is set.
func (j *judge) interrupted(r sentRequest, killed bool) bool {
	return slices.ContainsFunc(j.interruptions, func(i interruption) bool {
		return (i.killed || !killed) && i.overlaps(r.SentAt, r.EndedAt)
	})
}

// wasReceived reports whether a node got a part of the request.
func (j *judge) wasReceived(id string) bool {
	return slices.ContainsFunc(j.nodes, func(n *pacednode.Node) bool { return len(n.Attempts(id)) > 0 })
}

// describe returns what identifies a request in a breach.
func (j *judge) describe(r sentRequest) string {
	var attempts []string
	for _, n := range j.nodes {
		for _, a := range n.Attempts(r.ID) {
			attempts = append(attempts, fmt.Sprintf("attempt at %v", a.BeganAt.Sub(r.SentAt).Round(time.Millisecond)))
		}
	}
	return fmt.Sprintf("%s (%s, body %d, answer %d, deadline %v, sent %s, reused %v, %s)", r.ID, r.Class, r.Request.Body, r.Script.Size, r.Deadline,
		r.SentAt.Format("05.000"), r.reused, strings.Join(attempts, ", "))
}
