package coldstart

import "time"

// Phase is how far a start has come. A start never goes back to an earlier one.
type Phase int

// The phases.
const (
	NoList     Phase = iota // no list is known
	CachedList              // only the cached list is known: any of its nodes may have restarted since
	ListKnown               // the list was received
	Learning                // a node has served a request; nodes may still be cold or backing off
	Serving                 // the start is over: the package no longer limits anything
)

func (p Phase) String() string {
	return [...]string{"no list", "cached list", "list known", "learning", "serving"}[p]
}

// Node is an entry of the list. StartTime is the node's start as the list gives it, 0 if it was long ago; StartedAt is the
// same by the process's clock.
type Node struct {
	ID        string
	StartTime float64
	StartedAt time.Duration
}

// Event is something that happened.
type Event interface{ event() }

// The events.
type (
	// Started is the first event. It has the cached list, and the nodes of the snapshot, the most used first.
	Started struct{ CachedList, Snapshot []Node }
	// ListReceived reports a complete list.
	ListReceived struct{ Nodes []Node }
	// ListRequestFailed reports that a list request failed or was rejected.
	ListRequestFailed struct{}
	// NodeFull reports that a node rejected a request for lack of capacity.
	NodeFull struct{ Node string }
	// ConnectFailed reports a connect to a node that failed or timed out.
	ConnectFailed struct{ Node string }
	// RequestServed reports that a node served a request.
	RequestServed struct{ Node string }
	// RequestArrived reports a client's request. Node is "" if any node may serve it, or if it is not known which.
	RequestArrived struct{ Node string }
	// RequestRejected reports that the policy rejected a request. A Reject follows, with the Retry-After to send.
	RequestRejected struct{ Node string }
	// SnapshotReceived is a snapshot that another process handed over, the most used nodes first.
	SnapshotReceived struct{ Snapshot []Node }
	// PeerReported is a peer's report of a node's start.
	PeerReported struct{ Node Node }
	// TimerFired reports that the time of the last SetTimer has come.
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

// Action is something for the process to do.
type Action interface{ action() }

// The actions.
type (
	// RequestList requests the endpoint list.
	RequestList struct{}
	// UseCachedList gives the policy the cached list, with each node as one that starts now.
	UseCachedList struct{}
	// LimitColdNode limits what this process sends to a node that may be cold: to Units within the settings'
	// OverloadWindow, from StartedAt on until the node is warmed up.
	LimitColdNode struct {
		Node      string
		Units     float64
		StartedAt time.Duration
	}
	// LiftColdLimit removes the limit of a cached node: the start time of the received list counts.
	LiftColdLimit struct{ Node string }
	// Restore applies what the snapshot has of a node: it has not restarted since.
	Restore struct{ Node string }
	// Connect opens one connection ahead of need.
	Connect struct{ Node string }
	// CheckHealth sends a node a health check, which returns its load.
	CheckHealth struct{ Node string }
	// ReportReady reports that the process accepts clients.
	ReportReady struct{}
	// Reject rejects the request of RequestArrived or RequestRejected at once.
	Reject struct{ RetryAfter time.Duration }
	// SetTimer requests a TimerFired at a time. It replaces an earlier one.
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
