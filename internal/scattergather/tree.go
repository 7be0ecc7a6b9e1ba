package scattergather

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wheatsaddle/gather"
)

// The tree over peers: parts of a gathered read are handed on in groups, which peers gather and merge. Book decides how a
// read is split and which peers are asked; group (tree_group.go) when a group is taken over by the next. Neither knows a
// wire, clock or goroutine.
//
// Invariants:
//
//	T1  Each part is in one group or asked by the process itself. Groups are at most FanOut, hold 2 to GroupMost parts, and
//	    their sizes differ by one at most.
//	T2  Nothing is handed on of a class that is not safe to repeat, under a plan with a limit, or of fewer parts than LeastParts.
//	T3  Copies of a group go to at most Copies peers, each once, and no peer comes first for two groups of a read.
//	T4  A peer that failed is not asked before its rest is over, which grows with each failure up to RestMost; one that
//	    refused not before its Retry-After.
//	T5  After a failure's rest a peer is asked for one group at a time, a trial, and for more only after a good one.
//	T6  The last copy is the process itself: it is asked once no copy is out and no peer is left, or one has lost parts; and
//	    before the last of 1+Copies equal shares of the time, however slow the peers are, unless what they brought waits for the merge.
//	T7  At most two copies of a group are out. While one is left to ask, it is asked when the newest was silent for Silent.
//	T8  The same seed and events make the same decisions.
//	T9  Where it is known who is alive, a read is handed on to nobody else, whatever rest or trial is due; one that joins is asked
//	    as one that was there, and one that comes back rests on for what it did before.

const (
	groupLeast = 2  // a group of one saves nothing
	copiesMost = 8  // peers asked for one group
	peersMost  = 64 // of a process
	restDraw   = 0.25
)

// TreeRules say how reads are handed on.
type TreeRules struct {
	Peers         []string      // names
	LeastParts    int           // a read of fewer parts is not handed on
	GroupMost     int           // parts of a group
	FanOut        int           // groups of one read
	Copies        int           // peers asked for one group before the process itself
	Silent        time.Duration // a group is taken over when its peer brought nothing for so long
	Rest, RestMax time.Duration // of a peer after its first failure; doubled at each further one
}

// Check names what cannot be.
func (r *TreeRules) Check() error {
	switch seen := slices.Compact(slices.Sorted(slices.Values(r.Peers))); {
	case len(r.Peers) == 0 || len(r.Peers) > peersMost:
		return &RulesBad{"peers", fmt.Sprintf("are not 1 to %d", peersMost)}
	case len(seen) < len(r.Peers) || seen[0] == "":
		return &RulesBad{"peers", "have a name twice, or none"}
	case r.LeastParts < 2*groupLeast:
		return &RulesBad{"tree.least_parts", fmt.Sprintf("is under %d", 2*groupLeast)}
	case r.GroupMost < groupLeast:
		return &RulesBad{"tree.group_most", fmt.Sprintf("is under %d", groupLeast)}
	case r.FanOut < 1:
		return &RulesBad{"tree.fan_out", "is not a positive number"}
	case r.Copies < 1 || r.Copies > copiesMost:
		return &RulesBad{"tree.copies", fmt.Sprintf("is not 1 to %d", copiesMost)}
	case r.Silent <= 0:
		return &RulesBad{"tree.silent_ms", "is not a positive time"}
	case r.Rest <= 0 || r.RestMax < r.Rest:
		return &RulesBad{"tree.rest_ms, tree.rest_most_ms", "is not a positive time, or the most is under the first"}
	}
	return nil
}

// Group is parts that are handed on together.
type Group struct {
	gather.Part               // as the root's merge has it
	Parts       []gather.Part // in it
	Order       []string      // of peers: who is asked for which copy; then the process itself
	Trial       int           // the first of them is on trial: its number; 0: it is not
}

// Plan is how one read is split.
type Plan struct {
	Groups []Group
	Own    []gather.Part // asked by the process itself, one by one
}

// Parts are those of the root's merge.
func (p *Plan) Parts() []gather.Part {
	var all []gather.Part
	for i := range p.Groups {
		all = append(all, p.Groups[i].Part)
	}
	return append(all, p.Own...)
}

// Outcome is how the asking of a peer ended, as far as it tells of the peer.
type Outcome uint8

// The outcomes.
const (
	PeerGood      Outcome = iota // the group is whole
	PeerBad                      // failed, cut, nonsense, parts lost, or passed by another copy
	PeerRefused                  // it never ran: not before its Retry-After
	PeerAbandoned                // nothing is known: it was not needed any more
)

// Book is what is known of the peers. Not for several goroutines at once.
type Book struct {
	set   TreeRules
	rng   *rand.Rand
	peers []*peerState // by name
	tried int          // trials so far
	known bool         // which peers are alive
	fault treeFault
}

type peerState struct {
	name   string
	fails  int           // since it was good
	notYet time.Duration // its rest, or its Retry-After
	trial  int           // the one that is out; 0: none
	alive  bool          // where that is known
}

type treeFault uint8 // what a test takes away, to see that its loss is found

const (
	treeSound treeFault = iota
	treeLosesPart
	treeUnsafe
	treeTwice
	treeNoRest
	treeNoTrial
	treeEarly
	treeNoGrowth
	treeNoSelf
	treeThree
	treePatient
	treeSilent
	treeLost
	treeClock
	treeDead
)

// NewBook makes the book of a process. Errors: *RulesBad.
func NewBook(set TreeRules, seed uint64) (*Book, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	b := &Book{set: set, rng: rand.New(rand.NewPCG(seed, 0x7ee))}
	for _, name := range slices.Sorted(slices.Values(set.Peers)) {
		b.peers = append(b.peers, &peerState{name: name})
	}
	return b, nil
}

// Split says how a read is gathered. safe: its class is safe to repeat; limited: its plan has a limit, of which each host of
// the volume has a part. Done follows.
func (b *Book) Split(now time.Duration, parts []gather.Part, safe, limited bool) Plan {
	if b.fault != treeUnsafe && (!safe || limited) || len(parts) < b.set.LeastParts {
		return Plan{Own: parts}
	}
	var good, first []*peerState
	for _, p := range b.peers {
		switch {
		case b.known && !p.alive && b.fault != treeDead: // left out
		case now < p.notYet && b.fault != treeNoRest:
		case p.fails == 0 || b.fault == treeNoTrial:
			good = append(good, p)
		case p.trial == 0:
			first = append(first, p) // due for its trial
		}
	}
	shuffle := func(s []*peerState) {
		draw := b.rng.Shuffle
		if b.fault == treeClock { // a test's: a seed that nobody gave
			draw = rand.Shuffle
		}
		draw(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	}
	shuffle(good)
	shuffle(first)
	if len(first) > 1 { // of many that are due one is tried, so that a read waits for one at most
		first = first[:1]
	}
	first = append(first, good...)
	groups := min(b.set.FanOut, len(first))
	for groups > 0 && len(parts)/(groups+1) < groupLeast { // the process has its share too
		groups--
	}
	var plan Plan
	size, more := len(parts)/(groups+1), len(parts)%(groups+1)
	if size >= b.set.GroupMost {
		size, more = b.set.GroupMost, 0
	}
	rest := parts
	for i := range groups {
		n := size
		if i < more {
			n++
		}
		g := Group{Part: gather.Part{ID: fmt.Sprint("g", i), Shard: rest[0].Shard}, Parts: rest[:n:n]}
		for _, p := range g.Parts {
			g.Of = append(g.Of, p.ID)
		}
		lead := first[i]
		if g.Order = append(g.Order, lead.name); lead.fails > 0 {
			b.tried++
			g.Trial, lead.trial = b.tried, b.tried
		}
		if b.fault == treeTwice {
			g.Order[0] = first[0].name
		}
		at := slices.Index(good, lead) + 1 // the next of the good ones, so that one failure does not load one peer
		for k := 0; k < len(good) && len(g.Order) < b.set.Copies; k++ {
			if p := good[(at+k)%len(good)]; p != lead {
				g.Order = append(g.Order, p.name)
			}
		}
		if rest = rest[n:]; b.fault == treeLosesPart && i == 0 {
			g.Parts = g.Parts[:n-1]
		}
		plan.Groups = append(plan.Groups, g)
	}
	plan.Own = rest
	return plan
}

func (b *Book) find(name string) *peerState {
	i, ok := slices.BinarySearchFunc(b.peers, name, func(p *peerState, name string) int {
		switch {
		case p.name < name:
			return -1
		case p.name > name:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return b.peers[i]
}

// Alive says which processes are, from now on; before the first word all may be.
func (b *Book) Alive(names []string) {
	b.known = true
	for _, p := range b.peers {
		p.alive = slices.Contains(names, p.name)
	}
}

// Ended says how an asking of a peer ended, with the number of its trial; after is the Retry-After of PeerRefused. It may be
// called again as more is known: what is bad already does not rest longer for it.
func (b *Book) Ended(now time.Duration, peer string, trial int, o Outcome, after time.Duration) {
	p := b.find(peer)
	if p == nil {
		return
	}
	tried := trial != 0 && p.trial == trial
	if tried {
		p.trial = 0
	}
	switch o {
	case PeerGood:
		if tried {
			p.fails, p.notYet = 0, 0
		}
	case PeerBad:
		if p.fails > 0 && !tried { // asked before it was known to be bad
			return
		}
		rest := b.set.RestMax
		if p.fails < 30 && b.set.Rest<<p.fails < rest && b.set.Rest<<p.fails > 0 {
			rest = b.set.Rest << p.fails
		}
		if b.fault == treeNoGrowth {
			rest = b.set.Rest
		}
		p.fails++
		p.notYet = max(p.notYet, now+rest-time.Duration(restDraw*b.rng.Float64()*float64(rest)))
	case PeerRefused:
		if b.fault != treeEarly {
			p.notYet = max(p.notYet, now+min(after, b.set.RestMax))
		}
	}
}

// fails of a peer since it was good.
func (b *Book) fails(peer string) int {
	if p := b.find(peer); p != nil {
		return p.fails
	}
	return 0
}

// Done says that a read is over: a trial of it that nobody judged may come again.
func (b *Book) Done(plan Plan) {
	for _, g := range plan.Groups {
		if g.Trial != 0 {
			b.Ended(0, g.Order[0], g.Trial, PeerAbandoned, 0)
		}
	}
}

// Standing is a peer as the book has it.
type Standing struct {
	Name  string
	Fails int
	Rests time.Duration // how much longer; 0: not
	Trial bool          // one is out
	Gone  bool          // it is known not to be alive
}

// Standing of all peers, by name.
func (b *Book) Standing(now time.Duration) (all []Standing) {
	for _, p := range b.peers {
		all = append(all, Standing{p.name, p.fails, max(0, p.notYet-now), p.trial != 0, b.known && !p.alive})
	}
	return all
}
