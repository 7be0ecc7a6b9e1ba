package scattergather

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wheatsaddle/gather"
)

// Delegation to peers: groups of parts of a gathered read are delegated to peers, which gather and merge them. PeerTable decides how
// a read is split and which peers are used. group.go decides when the next peer takes over a group. Neither does I/O or has a clock
// or goroutines.
//
// Invariants:
//
//	T1  Each part is in one group or requested by this process. There are at most FanOut groups of 2 to MaxGroupParts parts, and
//	    their sizes differ by at most one.
//	T2  A read is not delegated if its class is not idempotent, its plan has a rate limit, or it has fewer than MinParts parts.
//	T3  A group is sent to at most MaxPeerAttempts peers, at most once to each, and no peer is the first of two groups of a read.
//	T4  A peer that failed is not used before its backoff ends, which grows with each failure up to MaxBackoff. A peer that rejected
//	    a group is not used before its Retry-After.
//	T5  After the backoff a peer is used for one group at a time, as a trial, and for more only after a successful trial.
//	T6  The last attempt of a group is made by this process: once no attempt is in flight and no peer is left, or once a peer lost
//	    parts, and at the latest before the last of 1+MaxPeerAttempts equal shares of the time. A slow peer does not delay it, unless
//	    the bytes that the peer delivered wait for the merge.
//	T7  At most two attempts of a group are in flight. If a peer is left, it is used once the newest attempt was silent for SilenceTimeout.
//	T8  The same seed and events lead to the same decisions.
//	T9  If the live peers are known, a read is delegated to no other peer, even if a backoff ended or a trial is due. A peer that joins
//	    is treated as one that was there before, and one that returns keeps its backoff.

const (
	minGroupParts    = 2    // delegating a group of one part saves nothing
	maxPeersPerGroup = 8    // peers used for one group
	maxPeers         = 64   // of one process
	backoffJitter    = 0.25 // a backoff is shortened by a random share up to this
)

// DelegationRules say how reads are delegated to peers.
type DelegationRules struct {
	Peers               []string      // names
	MinParts            int           // a read with fewer parts is not delegated
	MaxGroupParts       int           // parts of a group
	FanOut              int           // groups of one read
	MaxPeerAttempts     int           // peers used for one group before this process gathers it
	SilenceTimeout      time.Duration // another peer takes over a group after this time without bytes
	Backoff, MaxBackoff time.Duration // of a peer after its first failure, doubled after each further one up to the maximum
}

// Check returns an error for an invalid setting.
func (r *DelegationRules) Check() error {
	switch seen := slices.Compact(slices.Sorted(slices.Values(r.Peers))); {
	case len(r.Peers) == 0 || len(r.Peers) > maxPeers:
		return &InvalidRules{"peers", fmt.Sprintf("are not 1 to %d", maxPeers)}
	case len(seen) < len(r.Peers) || seen[0] == "":
		return &InvalidRules{"peers", "contain a duplicate or empty name"}
	case r.MinParts < 2*minGroupParts:
		return &InvalidRules{"tree.least_parts", fmt.Sprintf("is under %d", 2*minGroupParts)}
	case r.MaxGroupParts < minGroupParts:
		return &InvalidRules{"tree.group_most", fmt.Sprintf("is under %d", minGroupParts)}
	case r.FanOut < 1:
		return &InvalidRules{"tree.fan_out", "is not a positive number"}
	case r.MaxPeerAttempts < 1 || r.MaxPeerAttempts > maxPeersPerGroup:
		return &InvalidRules{"tree.copies", fmt.Sprintf("is not 1 to %d", maxPeersPerGroup)}
	case r.SilenceTimeout <= 0:
		return &InvalidRules{"tree.silent_ms", "is not a positive duration"}
	case r.Backoff <= 0 || r.MaxBackoff < r.Backoff:
		return &InvalidRules{"tree.rest_ms, tree.rest_most_ms", "is not a positive duration, or the maximum is below the first"}
	}
	return nil
}

// Group is a group of parts that are delegated together.
type Group struct {
	gather.Part               // the group as a part of the coordinator's merge
	Parts       []gather.Part // its parts
	PeerOrder   []string      // peers in the order of their attempts; this process follows them
	Trial       int           // number of the first peer's trial; 0: it is not on trial
}

// ReadPlan is how one read is split.
type ReadPlan struct {
	Groups []Group
	Local  []gather.Part // requested by this process, one by one
}

// Parts returns the parts of the coordinator's merge.
func (p *ReadPlan) Parts() []gather.Part {
	var all []gather.Part
	for i := range p.Groups {
		all = append(all, p.Groups[i].Part)
	}
	return append(all, p.Local...)
}

// PeerOutcome is what the end of an attempt says about its peer.
type PeerOutcome uint8

// The outcomes.
const (
	OutcomeSuccess  PeerOutcome = iota // the group is complete
	OutcomeFailure                     // failed, truncated, invalid, lost parts, or overtaken by a later attempt
	OutcomeRejected                    // not executed: the peer is not used before its Retry-After
	OutcomeUnknown                     // the attempt was no longer needed
)

// PeerTable is the state of the peers. It must not be used by several goroutines at once.
type PeerTable struct {
	rules         DelegationRules
	rng           *rand.Rand
	peers         []*peerState // sorted by name
	trials        int          // trials so far
	livenessKnown bool         // the live peers are known
	fault         delegationFault
}

type peerState struct {
	name        string
	failures    int           // since its last successful trial
	notBefore   time.Duration // end of its backoff or Retry-After
	activeTrial int           // number of the trial in flight; 0: none
	alive       bool          // meaningful if livenessKnown
}

type delegationFault uint8 // a defect that a test injects to verify that its checks find it

const (
	delegationFaultNone delegationFault = iota
	delegationFaultLosePart
	delegationFaultDelegateNonIdempotent
	delegationFaultSamePeerFirst
	delegationFaultNoBackoff
	delegationFaultNoTrial
	delegationFaultIgnoreRetryAfter
	delegationFaultConstantBackoff
	delegationFaultNoLocalAttempt
	delegationFaultThirdAttempt
	delegationFaultIgnoreTimeShare
	delegationFaultIgnoreSilence
	delegationFaultIgnoreLostParts
	delegationFaultUnseededRandom
	delegationFaultUseDeadPeers
)

// NewPeerTable returns the peer table of a process. Its error is an *InvalidRules.
func NewPeerTable(rules DelegationRules, seed uint64) (*PeerTable, error) {
	if err := rules.Check(); err != nil {
		return nil, err
	}
	table := &PeerTable{rules: rules, rng: rand.New(rand.NewPCG(seed, 0x7ee))}
	for _, name := range slices.Sorted(slices.Values(rules.Peers)) {
		table.peers = append(table.peers, &peerState{name: name})
	}
	return table, nil
}

// Split decides how a read is split. limited: its plan has a rate limit, of which each host of the volume has a share. ReadEnded has
// to be called at the end of the read.
func (t *PeerTable) Split(now time.Duration, parts []gather.Part, idempotent, limited bool) ReadPlan {
	if t.fault != delegationFaultDelegateNonIdempotent && (!idempotent || limited) || len(parts) < t.rules.MinParts {
		return ReadPlan{Local: parts}
	}
	var healthy, candidates []*peerState
	for _, p := range t.peers {
		switch {
		case t.livenessKnown && !p.alive && t.fault != delegationFaultUseDeadPeers: // not used
		case now < p.notBefore && t.fault != delegationFaultNoBackoff:
		case p.failures == 0 || t.fault == delegationFaultNoTrial:
			healthy = append(healthy, p)
		case p.activeTrial == 0:
			candidates = append(candidates, p) // due for its trial
		}
	}
	shuffle := func(s []*peerState) {
		draw := t.rng.Shuffle
		if t.fault == delegationFaultUnseededRandom { // injected fault: a random seed
			draw = rand.Shuffle
		}
		draw(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
	}
	shuffle(healthy)
	shuffle(candidates)
	if len(candidates) > 1 { // only one of the peers that are due is tried, so that a read waits for one trial at most
		candidates = candidates[:1]
	}
	candidates = append(candidates, healthy...)
	groups := min(t.rules.FanOut, len(candidates))
	for groups > 0 && len(parts)/(groups+1) < minGroupParts { // this process also takes a share of the parts
		groups--
	}
	var readPlan ReadPlan
	size, largerGroups := len(parts)/(groups+1), len(parts)%(groups+1)
	if size >= t.rules.MaxGroupParts {
		size, largerGroups = t.rules.MaxGroupParts, 0
	}
	unassigned := parts
	for i := range groups {
		n := size
		if i < largerGroups {
			n++
		}
		g := Group{Part: gather.Part{ID: fmt.Sprint("g", i), Shard: unassigned[0].Shard}, Parts: unassigned[:n:n]}
		for _, p := range g.Parts {
			g.Of = append(g.Of, p.ID)
		}
		first := candidates[i]
		if g.PeerOrder = append(g.PeerOrder, first.name); first.failures > 0 {
			t.trials++
			g.Trial, first.activeTrial = t.trials, t.trials
		}
		if t.fault == delegationFaultSamePeerFirst {
			g.PeerOrder[0] = candidates[0].name
		}
		at := slices.Index(healthy, first) + 1 // the next healthy peers, so that a failure does not shift its load to a single peer
		for k := 0; k < len(healthy) && len(g.PeerOrder) < t.rules.MaxPeerAttempts; k++ {
			if p := healthy[(at+k)%len(healthy)]; p != first {
				g.PeerOrder = append(g.PeerOrder, p.name)
			}
		}
		if unassigned = unassigned[n:]; t.fault == delegationFaultLosePart && i == 0 {
			g.Parts = g.Parts[:n-1]
		}
		readPlan.Groups = append(readPlan.Groups, g)
	}
	readPlan.Local = unassigned
	return readPlan
}

func (t *PeerTable) find(name string) *peerState {
	i, ok := slices.BinarySearchFunc(t.peers, name, func(p *peerState, name string) int {
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
	return t.peers[i]
}

// SetAlive sets which processes are alive. Until its first call all peers are assumed to be.
func (t *PeerTable) SetAlive(names []string) {
	t.livenessKnown = true
	for _, p := range t.peers {
		p.alive = slices.Contains(names, p.name)
	}
}

// AttemptEnded records how an attempt of a peer ended. trial is the number of the trial, and retryAfter belongs to OutcomeRejected. It
// may be called again when more is known; a peer that already failed does not back off longer because of that.
func (t *PeerTable) AttemptEnded(now time.Duration, peer string, trial int, outcome PeerOutcome, retryAfter time.Duration) {
	p := t.find(peer)
	if p == nil {
		return
	}
	wasTrial := trial != 0 && p.activeTrial == trial
	if wasTrial {
		p.activeTrial = 0
	}
	switch outcome {
	case OutcomeSuccess:
		if wasTrial {
			p.failures, p.notBefore = 0, 0
		}
	case OutcomeFailure:
		if p.failures > 0 && !wasTrial { // the attempt started before the peer was known to fail
			return
		}
		backoff := t.rules.MaxBackoff
		if p.failures < 30 && t.rules.Backoff<<p.failures < backoff && t.rules.Backoff<<p.failures > 0 {
			backoff = t.rules.Backoff << p.failures
		}
		if t.fault == delegationFaultConstantBackoff {
			backoff = t.rules.Backoff
		}
		p.failures++
		p.notBefore = max(p.notBefore, now+backoff-time.Duration(backoffJitter*t.rng.Float64()*float64(backoff)))
	case OutcomeRejected:
		if t.fault != delegationFaultIgnoreRetryAfter {
			p.notBefore = max(p.notBefore, now+min(retryAfter, t.rules.MaxBackoff))
		}
	}
}

// failures returns the failures of a peer since its last successful trial.
func (t *PeerTable) failures(peer string) int {
	if p := t.find(peer); p != nil {
		return p.failures
	}
	return 0
}

// ReadEnded records the end of a read. A trial of it without an outcome may be repeated.
func (t *PeerTable) ReadEnded(plan ReadPlan) {
	for _, g := range plan.Groups {
		if g.Trial != 0 {
			t.AttemptEnded(0, g.PeerOrder[0], g.Trial, OutcomeUnknown, 0)
		}
	}
}

// PeerStatus is the state of one peer.
type PeerStatus struct {
	Name        string
	Failures    int
	BackoffLeft time.Duration // 0: it is not backing off
	InTrial     bool          // a trial is in flight
	NotAlive    bool          // it is known not to be alive
}

// Status returns the state of all peers, sorted by name.
func (t *PeerTable) Status(now time.Duration) (all []PeerStatus) {
	for _, p := range t.peers {
		all = append(all, PeerStatus{p.name, p.failures, max(0, p.notBefore-now), p.activeTrial != 0, t.livenessKnown && !p.alive})
	}
	return all
}
