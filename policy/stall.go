package policy

import (
	"fmt"
	"math"
)

// detectStall notes a stall of this host itself, by a timer far past due: what comes now waited
// here, so its times are no samples, silence counts anew, and arrivals are as old as the
// time left says. It covers a clock that leaps. Harm: a late caller costs samples.
func (s *Scheduler) detectStall(events []Event) {
	if s.resumedFromStall = timerFired(events, "beat") && s.now-s.heartbeatDueAt > maxTimerLagMs; s.resumedFromStall {
		s.logText(fmt.Sprintf("stood still for %.0f ms", s.now-s.heartbeatDueAt))
		s.lastStallEndAt = s.now
	}
}

// checkInFlight notes silence, stalls and lost attempts by what is out and for how long. One that
// many later ones overtook is lost (a dropped message, a stuck worker): it gives its place
// back, is no word on the node's speed, and goes again where its class allows. Harm: very
// large work at a node that serves out of turn, hence the age as well.
func (s *Scheduler) checkInFlight(l *shardQueue) {
	for _, n := range l.nodes {
		for len(n.inFlight) > 0 {
			r := n.inFlight[0]
			age := s.now - r.lastAt()
			usual := s.expectedLatency(n) * math.Max(1, r.units/s.settings.MeanUnits)
			if n.overtakenBy(r) < minOvertakingAnswers || age < math.Max(minLostAgeMs, lostLatencyMultiple*usual) {
				break
			}
			s.writeOffOldest(n)
		}
		if len(n.inFlight) == 0 {
			continue
		}
		for _, r := range n.inFlight {
			age := s.now - r.lastAt()
			stuck := s.now >= r.objectiveAt && age > stuckLatencyMultiple*s.poolLatency && !r.attemptCancelled
			if stuck && s.settings.MayCancel && !r.done && !r.streaming {
				r.attemptCancelled = true
				s.recordLatency(n, age, r.units)
				s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.attempts) - 1})
			}
		}
		quiet := s.now - max(n.lastHeardAt, n.inFlight[0].lastAt(), s.lastStallEndAt)
		s.stallSeen = s.stallSeen || quiet > minNodeStallMs
		if quiet > math.Max(minSilenceMs, silenceLatencyMultiple*s.expectedLatency(n)) {
			if !n.silent {
				s.logText(fmt.Sprintf("node %s silent for %.0f ms: trickle", n.ID, quiet))
				n.silentSince = s.now - quiet
			}
			n.silent, n.window = true, math.Min(minWindow, n.window)
			for len(n.inFlight) > 0 { // or they would hold the trickle until their clients leave
				s.writeOffOldest(n)
			}
		}
	}
}

// writeOffOldest writes off the oldest attempt out at a node. Where copies are allowed another goes out
// beside it, as an answer to either serves: a connection may have fallen silent, and its time
// limit is past any aim. The copy is bound as if the first had run. Harm: large work twice.
func (s *Scheduler) writeOffOldest(n *node) {
	r := n.inFlight[0]
	n.inFlight, n.inFlightUnits, r.attemptLost = n.inFlight[1:], n.inFlightUnits-r.units, true
	r.attempts[len(r.attempts)-1].lost = true
	if s.settings.MayHedge && !r.done && !r.streaming && !r.attemptCancelled && !r.queued {
		if r.mayHaveRunOn == nil {
			r.mayHaveRunOn, r.mayHaveRunSince = n, r.lastAt()
		}
		if s.mayRetry(r) {
			s.enqueue(r)
			return
		}
	}
	if r.class.Effect == Idempotent && s.settings.MayCancel && !r.done && !r.streaming {
		s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.attempts) - 1})
	}
}

// overtakenBy counts the answers to attempts sent after this one.
func (n *node) overtakenBy(r *request) float64 {
	return n.answerCount - r.nodeAnswersAtSend - r.inFlightAtSend
}
