package scattergather

import (
	"errors"
	"time"

	"wheatsaddle/gather"
)

// handed is what is known of a group while it is gathered.
type handed struct {
	Group
	who  int // of the last copy: a place in Order; past its end the process itself
	next int // who is asked next; further: nobody is left
}

func (h *handed) peer(i int) string {
	if i < len(h.Order) {
		return h.Order[i]
	}
	return ""
}

// hand tells which of the parts are groups, and how they are asked. The class is safe to repeat.
func (g *Gather) hand(set TreeRules, plan Plan) {
	g.tree = set
	for _, x := range plan.Groups {
		g.byID[x.ID].group = &handed{Group: x}
	}
}

// heard: parts that a peer lost are the process's own to ask.
func (g *Gather) heard(p *part, err error) {
	if p.group != nil && g.treeBad != treeLost && errors.As(err, new(*PeerLost)) {
		p.group.next = max(p.group.next, len(p.group.Order))
	}
}

// handOn asks the next for a group once the one before has ended, or has been silent, or slow, for too long.
func (g *Gather) handOn(now time.Duration, p *part, d gather.Demand) {
	h := p.group
	none := h.next > len(h.Order) || g.treeBad == treeNoSelf && h.next == len(h.Order)
	if n := len(p.live); n > 0 {
		a := &p.live[n-1]
		if none || a.held {
			return
		}
		over := a.last + g.tree.Silent
		if g.treeBad == treeSilent { // a test's: what has said nothing is waited for
			over = a.due
		}
		// Where the merge has its bytes and waits for room, the group is not what is slow.
		if quota := g.r.Merge.Memory.Bytes / (len(g.parts) + 1); (d.First || 2*d.Bytes > quota) && g.treeBad != treePatient {
			over = min(over, a.due)
		}
		if now < over {
			g.wake = min(g.wake, over)
			return
		}
		if n >= copyMost && g.treeBad != treeThree {
			worst := 0 // heard the longest ago
			for i := range p.live {
				if p.live[i].last < p.live[worst].last {
					worst = i
				}
			}
			g.off(p, worst)
		}
	} else if p.limited && p.more < moreMost { // it wants more than it asked for
		p.more++
		g.askPeer(now, p, d)
		return
	}
	if none {
		g.drop(p, p.why)
		return
	}
	h.who = h.next
	h.next++
	p.used++
	g.askPeer(now, p, d)
}

func (g *Gather) askPeer(now time.Duration, p *part, d gather.Demand) {
	h := p.group
	p.next++
	share := (g.until - now) / time.Duration(max(1, len(h.Order)+1-h.who))
	p.live = append(p.live, asking{no: p.next, last: now, due: now + share})
	g.wake = min(g.wake, now+min(share, g.tree.Silent))
	g.actions = append(g.actions, Action{Ask: Ask{Part: p.Part, Copy: p.next, Until: g.until, Rows: d.Rows, Peer: h.peer(h.who)}})
}
