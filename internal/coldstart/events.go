package coldstart

import "time"

// Phase is how far a start has come. A start never goes back to an earlier one.
type Phase int

// The phases.
const (
	NoList     Phase = iota // nothing is known
	CachedList              // the list as last held: any node may have restarted since
	ListKnown               // the list has spoken
	Learning                // a node has answered; connections and shut nodes are still rationed
	Serving                 // as ever: this module has no say any more
)

func (p Phase) String() string {
	return [...]string{"nothing", "held", "heard", "learning", "serving"}[p]
}

// Node is a node of the list. Since is its start as the list gives it (0: long ago), At the same on
// the process's clock.
type Node struct {
	ID        string
	StartTime float64
	StartedAt time.Duration
}

// Event is one thing that the process hears.
type Event interface{ event() }

// The events.
type (
	// Started is the first: the list as last held, and the nodes of the snapshot, the most used first.
	Started struct{ CachedList, Snapshot []Node }
	// ListReceived is a full list.
	ListReceived struct{ Nodes []Node }
	// ListRequestFailed is a call of the list that was turned away or failed.
	ListRequestFailed struct{}
	// NodeFull is a node that turned work away for want of room.
	NodeFull struct{ Node string }
	// ConnectFailed is a connect to a node that failed or outlived its time.
	ConnectFailed struct{ Node string }
	// RequestServed is work served by a node.
	RequestServed struct{ Node string }
	// RequestArrived is a client's request: for a node ("" for any, or not known which).
	RequestArrived struct{ Node string }
	// RequestRejected is a request that the decisions refuse: Refuse words it.
	RequestRejected struct{ Node string }
	// SnapshotReceived is a snapshot that another process has handed over, the most used nodes first.
	SnapshotReceived struct{ Snapshot []Node }
	// PeerReported is what another process says of a node's start.
	PeerReported struct{ Node Node }
	// TimerFired is time that has passed: what SetTimer asked for.
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

// Action is one thing that the process does.
type Action interface{ action() }

// The actions.
type (
	// RequestList calls the list now.
	RequestList struct{}
	// UseCachedList gives the decisions the list as last held, each node as one that started now.
	UseCachedList struct{}
	// LimitColdNode is this process's part of what a node bears that may be cold, in units within the
	// settings' OverloadWindow, from the start At.
	LimitColdNode struct {
		Node      string
		Units     float64
		StartedAt time.Duration
	}
	// LiftColdLimit takes back what LimitColdNode assumed: the list's word on the node's start holds.
	LiftColdLimit struct{ Node string }
	// Restore takes what the snapshot has of a node: its start is the same.
	Restore struct{ Node string }
	// Connect opens one connection ahead of need.
	Connect struct{ Node string }
	// CheckHealth asks a node for its load.
	CheckHealth struct{ Node string }
	// ReportReady says that clients may come.
	ReportReady struct{}
	// Reject turns the request of Asked or Turned away at once.
	Reject struct{ RetryAfter time.Duration }
	// SetTimer asks for a Tick then; the latest counts.
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
