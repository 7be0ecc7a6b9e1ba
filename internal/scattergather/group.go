package scattergather

import (
	"errors"
	"time"

	"wheatsaddle/gather"
)

// delegatedGroup is the state of a group while it is gathered.
type delegatedGroup struct {
	Group
	current int // index in PeerOrder of the newest attempt; past its end: this process
	next    int // index of the next attempt; beyond this process: none is left
}

func (g *delegatedGroup) peer(i int) string {
	if i < len(g.PeerOrder) {
		return g.PeerOrder[i]
	}
	return ""
}

// setGroups sets which parts are groups, and how they are requested. The class is idempotent.
func (g *Gather) setGroups(rules DelegationRules, plan ReadPlan) {
	g.delegationRules = rules
	for _, x := range plan.Groups {
		g.byID[x.ID].group = &delegatedGroup{Group: x}
	}
}

// takeBackLostParts makes this process the next to gather a group after a peer lost parts of it.
func (g *Gather) takeBackLostParts(p *partState, err error) {
	if p.group != nil && g.delegationFault != delegationFaultIgnoreLostParts && errors.As(err, new(*PeerLostParts)) {
		p.group.next = max(p.group.next, len(p.group.PeerOrder))
	}
}

// scheduleGroup starts the next attempt of a group after the previous one ended, or was silent or slow for too long.
func (g *Gather) scheduleGroup(now time.Duration, p *partState, d gather.Demand) {
	group := p.group
	exhausted := group.next > len(group.PeerOrder) || g.delegationFault == delegationFaultNoLocalAttempt && group.next == len(group.PeerOrder)
	if n := len(p.inFlight); n > 0 {
		a := &p.inFlight[n-1]
		if exhausted || a.blocked {
			return
		}
		takeoverAt := a.lastActivity + g.delegationRules.SilenceTimeout
		if g.delegationFault == delegationFaultIgnoreSilence { // injected fault: a silent attempt is not taken over
			takeoverAt = a.takeoverAt
		}
		// While the merge has the group's bytes and waits for memory, the group is not the cause of the delay.
		if quota := g.rules.Merge.Memory.Bytes / (len(g.parts) + 1); (d.First || 2*d.Bytes > quota) && g.delegationFault != delegationFaultIgnoreTimeShare {
			takeoverAt = min(takeoverAt, a.takeoverAt)
		}
		if now < takeoverAt {
			g.wakeAt = min(g.wakeAt, takeoverAt)
			return
		}
		if n >= maxConcurrentAttempts && g.delegationFault != delegationFaultThirdAttempt {
			leastRecent := 0 // the attempt that was silent for the longest time
			for i := range p.inFlight {
				if p.inFlight[i].lastActivity < p.inFlight[leastRecent].lastActivity {
					leastRecent = i
				}
			}
			g.cancelAttempt(p, leastRecent)
		}
	} else if p.limited && p.rowLimitRaises < maxRowLimitRaises { // the merge needs more rows than were requested
		p.rowLimitRaises++
		g.startGroupAttempt(now, p, d)
		return
	}
	if exhausted {
		g.dropPart(p, p.lastErr)
		return
	}
	group.current = group.next
	group.next++
	p.attempts++
	g.startGroupAttempt(now, p, d)
}

func (g *Gather) startGroupAttempt(now time.Duration, p *partState, d gather.Demand) {
	group := p.group
	p.lastNumber++
	share := (g.partsDeadline - now) / time.Duration(max(1, len(group.PeerOrder)+1-group.current))
	p.inFlight = append(p.inFlight, attemptState{number: p.lastNumber, lastActivity: now, takeoverAt: now + share})
	g.wakeAt = min(g.wakeAt, now+min(share, g.delegationRules.SilenceTimeout))
	g.actions = append(g.actions, Action{Attempt: Attempt{Part: p.Part, Number: p.lastNumber, Deadline: g.partsDeadline, Rows: d.Rows, Peer: group.peer(group.current)}})
}
