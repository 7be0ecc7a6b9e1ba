package coldstart

import "time"

// Phase is a phase of the start. A start never returns to an earlier phase.
type Phase int

// The phases.
const (
	NoList     Phase = iota // no list is known
	CachedList              // only the cached list is known, and any of its nodes may have restarted since
	ListKnown               // the list was received
	Learning                // a node has served a request; nodes may still be cold or backing off
	Serving                 // the start is over, and the package no longer limits anything
)

func (p Phase) String() string {
	return [...]string{"no list", "cached list", "list known", "learning", "serving"}[p]
}

// Node is an entry of the list. StartTime is the node's start time as given by the list, 0 if the node started long ago.
// StartedAt is the same time on the process's clock.
type Node struct {
	ID        string
	StartTime float64
	StartedAt time.Duration
}

// Event is something that happened.
type Event interface{ event() }

// The events.
type (
	// Started is the first event. It carries the cached list and the nodes of the snapshot, the most used first.
	Started struct{ CachedList, Snapshot []Node }
	// ListReceived reports a complete list.
	ListReceived struct{ Nodes []Node }
	// ListRequestFailed reports that a list request failed or was rejected.
	ListRequestFailed struct{}
	// NodeFull reports that a node rejected a request for lack of capacity.
	NodeFull struct{ Node string }
	// ConnectFailed reports that a connect to a node failed or timed out.
	ConnectFailed struct{ Node string }
	// RequestServed reports that a node served a request.
	RequestServed struct{ Node string }
	// RequestArrived reports a client's request. Node is empty if any node may serve it or if the node is not known.
	RequestArrived struct{ Node string }
	// RequestRejected reports that the policy rejected a request. Until the start is over, a Reject with the Retry-After
	// follows.
	RequestRejected struct{ Node string }
	// SnapshotReceived carries a snapshot that another process handed over, the most used nodes first.
	SnapshotReceived struct{ Snapshot []Node }
	// PeerReported carries a peer's report of a node's start.
	PeerReported struct{ Node Node }
	// TimerFired reports that the timer of the last SetTimer has expired.
	TimerFired struct{}
)

func (Started) event()           {}
func (ListReceived) event()      {}
func (ListRequestFailed) event() {}
func (NodeFull) event()          {}
func (ConnectFailed) event()     {}
func (RequestServed) event()     {}
func (RequestArrived) event()    {}
func (RequestRejected) event()   {}
func (SnapshotReceived) event()  {}
func (PeerReported) event()      {}
func (TimerFired) event()        {}

// Action is an action for the process to carry out.
type Action interface{ action() }

// The actions.
type (
	// RequestList requests the endpoint list.
	RequestList struct{}
	// UseCachedList passes the cached list to the policy, with all nodes marked as starting now.
	UseCachedList struct{}
	// LimitColdNode limits what this process sends to a node that may be cold: at most Units within the settings'
	// OverloadWindow, from StartedAt until the node is warmed up.
	LimitColdNode struct {
		Node      string
		Units     float64
		StartedAt time.Duration
	}
	// LiftColdLimit removes the limit of a node of the cached list. From then on the received list's start time counts.
	LiftColdLimit struct{ Node string }
	// Restore applies the state of a node from the snapshot, since the node has not restarted.
	Restore struct{ Node string }
	// Connect opens one connection in advance.
	Connect struct{ Node string }
	// CheckHealth sends a health check to a node. Its response contains the node's load.
	CheckHealth struct{ Node string }
	// ReportReady reports that the process accepts clients.
	ReportReady struct{}
	// Reject rejects the request of RequestArrived or RequestRejected at once.
	Reject struct{ RetryAfter time.Duration }
	// SetTimer requests a TimerFired at a given time. It replaces the previous timer.
	SetTimer struct{ At time.Duration }
)

func (RequestList) action()   {}
func (UseCachedList) action() {}
func (LimitColdNode) action() {}
func (LiftColdLimit) action() {}
func (Restore) action()       {}
func (Connect) action()       {}
func (CheckHealth) action()   {}
func (ReportReady) action()   {}
func (Reject) action()        {}
func (SetTimer) action()      {}
