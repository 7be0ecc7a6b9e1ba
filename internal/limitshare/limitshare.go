// Package limitshare decides how the processes of one scheduler share its limits while one replaces another. The platform's limits
// on memory and sockets hold for all processes together. Each process records a claim, which is what it may hold, and Decide
// computes its next claim from those of the others.
//
// Invariants:
//
//   - A process raises its claim only into what the claims of the others leave, so the claims stay within the limit. The exception is
//     the minimum of a process that has just started, which the others make room for at once.
//   - A process without others claims the whole limit.
//   - A process that waits for the clients' socket claims a reserve. The serving process leaves it to it.
//   - A draining process claims an equal share of the limit, and never raises its claim. The serving process gets the rest.
//   - A claim is not lowered below what the process holds: its requests would find no room, and the memory is in use anyway.
//
// The package has no I/O, clock or goroutine. It does not know what a process holds: the driver lowers a claim only once the process
// holds no more than the new one.
package limitshare

// Amount is an amount of each limited resource.
type Amount struct {
	Memory  int64 // bytes of anonymous memory
	Sockets int64
}

// Phase is the phase of a process in a replacement.
type Phase uint8

// The phases, in order.
const (
	Waiting  Phase = iota // started, accepts no clients yet
	Serving               // accepts clients
	Draining              // was told to end, and finishes its requests
)

func (p Phase) String() string {
	return [...]string{"waiting", "serving", "draining"}[min(p, Draining)]
}

// Claim is what a process may hold.
type Claim struct {
	Amount
	Phase Phase
}

// State is what a process decides on.
type State struct {
	Limit  Amount  // of the scheduler
	Base   Amount  // what a process holds without any client
	Own    Claim   // the process's claim so far, and its present phase
	Held   Amount  // what the process needs for what it holds, and for requests beside it
	Others []Claim // of the other processes that run
}

// reserveDivisor sets the part of a limit that a waiting process gets beyond its base, for its first clients.
const reserveDivisor = 8

// Decide returns what the process should claim.
func Decide(s State) Amount {
	memory := resource{limit: s.Limit.Memory, base: s.Base.Memory, own: s.Own.Memory, held: s.Held.Memory}
	sockets := resource{limit: s.Limit.Sockets, base: s.Base.Sockets, own: s.Own.Sockets, held: s.Held.Sockets}
	phases := phaseCounts{}
	for _, other := range s.Others {
		memory.claimed += other.Memory
		sockets.claimed += other.Sockets
		phases[min(other.Phase, Draining)]++
	}
	return Amount{Memory: memory.decide(s.Own.Phase, phases), Sockets: sockets.decide(s.Own.Phase, phases)}
}

// phaseCounts are the numbers of other processes by phase.
type phaseCounts [Draining + 1]int64

func (n phaseCounts) total() int64 { return n[Waiting] + n[Serving] + n[Draining] }

// resource is one limited resource, with what the other processes claim of it.
type resource struct{ limit, base, own, held, claimed int64 }

// decide returns the claim of a process in a phase beside others.
func (r resource) decide(phase Phase, others phaseCounts) int64 {
	if others.total() == 0 {
		return r.limit
	}
	wanted := r.limit
	switch phase {
	case Waiting:
		wanted = r.reserve(others[Waiting] + 1)
	case Serving:
		wanted = (r.limit - others[Waiting]*r.reserve(others[Waiting])) / (others[Serving] + 1)
	case Draining:
		share := r.limit / (others[Draining] + 2) // of the draining processes and one that serves
		wanted = min(share, r.own)
	}
	return max(min(wanted, r.limit-r.claimed), min(r.held, r.own), r.base)
}

// reserve returns what each of a number of waiting processes gets: together at most half of the limit.
func (r resource) reserve(waiting int64) int64 {
	return max(min(r.base+r.limit/reserveDivisor, r.limit/(2*max(waiting, 1))), r.base)
}
