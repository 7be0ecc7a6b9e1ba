package coldstart

import "time"

// Phase is how far a start has come. A start never goes back to an earlier one.
type Phase int

// The phases.
const (
	Nothing  Phase = iota // nothing is known
	Held                  // the list as last held: any node may have restarted since
	Heard                 // the list has spoken
	Learning              // a node has answered; connections and shut nodes are still rationed
	Serving               // as ever: this module has no say any more
)

func (p Phase) String() string {
	return [...]string{"nothing", "held", "heard", "learning", "serving"}[p]
}

// Node is a node of the list. Since is its start as the list gives it (0: long ago), At the same on
// the process's clock.
type Node struct {
	ID    string
	Since float64
	At    time.Duration
}

// Event is one thing that the process hears.
type Event interface{ event() }

// The events.
type (
	// Begun is the first: the list as last held, and the nodes of the snapshot, the most used first.
	Begun struct{ HeldList, Snapshot []Node }
	// ListSpoke is a full list.
	ListSpoke struct{ Nodes []Node }
	// ListRefused is a call of the list that was turned away or failed.
	ListRefused struct{}
	// NodeFull is a node that turned work away for want of room.
	NodeFull struct{ Node string }
	// ConnectSlow is a connect to a node that failed or outlived its time.
	ConnectSlow struct{ Node string }
	// Answered is work served by a node.
	Answered struct{ Node string }
	// Asked is a client's request: for a node ("" for any, or not known which).
	Asked struct{ Node string }
	// Turned is a request that the decisions refuse: Refuse words it.
	Turned struct{ Node string }
	// Given is a snapshot that another process has handed over, the most used nodes first.
	Given struct{ Snapshot []Node }
	// Peer is what another process says of a node's start.
	Peer struct{ Node Node }
	// Tick is time that has passed: what WakeAt asked for.
	Tick struct{}
)

func (Begun) event()       {}
func (ListSpoke) event()   {}
func (ListRefused) event() {}
func (NodeFull) event()    {}
func (ConnectSlow) event() {}
func (Answered) event()    {}
func (Asked) event()       {}
func (Turned) event()      {}
func (Given) event()       {}
func (Peer) event()        {}
func (Tick) event()        {}

// Action is one thing that the process does.
type Action interface{ action() }

// The actions.
type (
	// AskList calls the list now.
	AskList struct{}
	// UseHeld gives the decisions the list as last held, each node as one that started now.
	UseHeld struct{}
	// ColdPart is this process's part of what a node bears that may be cold, in units within the
	// settings' TipSpan, from the start At.
	ColdPart struct {
		Node  string
		Units float64
		At    time.Duration
	}
	// Warm takes back what ColdPart assumed: the list's word on the node's start holds.
	Warm struct{ Node string }
	// Recall takes what the snapshot has of a node: its start is the same.
	Recall struct{ Node string }
	// Connect opens one connection ahead of need.
	Connect struct{ Node string }
	// Probe asks a node for its load.
	Probe struct{ Node string }
	// Ready says that clients may come.
	Ready struct{}
	// Refuse turns the request of Asked or Turned away at once.
	Refuse struct{ RetryAfter time.Duration }
	// WakeAt asks for a Tick then; the latest counts.
	WakeAt struct{ At time.Duration }
)

func (AskList) action()  {}
func (UseHeld) action()  {}
func (ColdPart) action() {}
func (Warm) action()     {}
func (Recall) action()   {}
func (Connect) action()  {}
func (Probe) action()    {}
func (Ready) action()    {}
func (Refuse) action()   {}
func (WakeAt) action()   {}
