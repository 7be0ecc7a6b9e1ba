// Package policy decides, for one host's I/O scheduler, which storage request
// goes to which node and when, and which is refused. This file is its whole
// interface. All times are milliseconds.
package policy

// Settings is what an instance knows at its start.
type Settings struct {
	Me, Hosts    int
	Zone         string
	Classes      []Class
	Plans        []Plan
	MeanUnits    float64 // mean units of a request
	MostUnits    float64 // most units of a request
	Shards       int     // shards in all, 0: not told
	ColdUnits    float64 // units a cold node bears from all hosts within TipSpan
	MeterSpan    float64 // period of the use meter, 0: none
	TellsOthers  bool    // answers carry units served through other hosts
	AskMode      bool    // the node list must be asked for
	MaxAttempts  int
	SecondCopies bool
	MayCancel    bool
	MayProbe     bool
	MayTell      bool // messages to peers are allowed
	HoldOff      bool // clients are told when to come back
	MaxHoldOff   float64
	DrainGrace   float64
	AskWithin    float64
	ColdFrom     float64 // share of capacity a cold node starts at, at least
	ColdSpan     float64 // time after which a node is warm
	TipMultiple  float64 // a cold node topples past this multiple of its capacity
	TipSpan      float64 // ... sent for this long
	OrderPause   float64 // rest of an ordered key after an attempt in doubt
	BudgetShare  float64 // extra attempts per request taken; with BudgetSpan 0: no budget
	BudgetFree   float64
	BudgetSpan   float64
}

// Effect says how often a request of a class may run.
type Effect int

// The effects: repeatable freely, repeatable within a group, at most once.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Group says which nodes discard repeats of a keyed request.
type Group int

// The groups: every node, those of one zone, those of one shard.
const (
	GroupAll Group = iota
	GroupZone
	GroupShard
)

// Class is a request class.
type Class struct {
	Name       string
	Aim        float64 // latency aim
	AimStretch float64 // aim grows to this multiple of the request's own work, 0: no
	Deadline   float64
	Worth      float64
	LateWorth  float64
	Effect     Effect
	Group      Group
	Memory     float64 // keyed: how long repeats are discarded
	Ordered    bool    // requests with one key run in turn
	Stream     bool
}

// Plan holds the figures of each volume on it, over all hosts and nodes.
type Plan struct {
	Name       string
	Rate       float64 // units per second the volume is sized for
	Reserve    float64 // units per second at full worth
	Weight     float64
	Price      float64
	Limit      float64 // units per second, 0: none
	LimitBurst float64
}

// NodeState is what the list says of a node.
type NodeState int

// The node states.
const (
	NodeUp NodeState = iota
	NodeDraining
	NodeOut // kept from new work at once, by hand or for a request: no grace
	NodeGone
)

// Node is one entry of the node list.
type Node struct {
	ID, Zone string
	Shard    int
	State    NodeState
	Weight   float64
	Since    float64 // time of its last start, 0: long ago
}

// EventKind tells which fields of an Event count.
type EventKind int

// The kinds of events.
const (
	Arrival    EventKind = iota // Req
	Outcome                     // ID, Attempt, Node, Status, Latency, Finished, Used, Others, Load
	FirstByte                   // ID, Attempt: a streamed answer has begun
	Departed                    // ID: the client has gone
	ListFull                    // Nodes: the complete list
	ListStale                   // Nodes: the complete list as last held, perhaps old
	ListChange                  // Nodes: changed entries
	ListFailed                  // a call to the list failed, or the subscription broke
	Timer                       // Tag
	Told                        // From, Data: a peer's message
	Probed                      // Node, Status, Latency, Load
)

// Status is how an attempt ended.
type Status int

// The statuses. Full, NoConn and Abandoned prove that the attempt never ran.
const (
	OK Status = iota
	Errored
	Full
	TimedOut
	NoConn
	Reset
	Cancelled
	Abandoned
)

// Request is an arriving request.
type Request struct {
	ID, Class, Plan, Key, Volume string
	NotAfter                     float64 // the client leaves at this time
	Units                        float64
	Shard                        int // -1: a new object
	Hosts                        int // hosts through which the volume's requests come
	Repeat                       bool
}

// Load is a node's load report; a negative figure is absent.
type Load struct{ Inflight, Queue, Util float64 }

// Event is one thing that happened to this instance.
type Event struct {
	Kind     EventKind
	Req      Request
	ID       string
	Attempt  int
	Node     string
	Status   Status
	Latency  float64
	Finished bool
	Used     float64 // 1 + percent of the plan's rate served everywhere, 0: none
	Others   float64 // units served through other hosts since the last answer
	Load     *Load
	Nodes    []Node
	Tag      string
	From     int
	Data     []byte
}

// ActionKind tells which fields of an Action count.
type ActionKind int

// The kinds of actions.
const (
	Send      ActionKind = iota // ID, Node, Until, By
	Refuse                      // ID, Wait (hold-off hint)
	Fail                        // ID
	Cancel                      // ID, Attempt
	SetTimer                    // Wait, Tag
	Subscribe                   // list changes from now on
	FetchList                   // the complete list, once
	Probe                       // Node
	Tell                        // Data, to every peer
	Log                         // Text
)

// Action is one thing the instance does.
type Action struct {
	Kind    ActionKind
	ID      string
	Node    string
	Until   float64
	By      float64 // the attempt may not begin later; 0: no bound but Until
	Attempt int
	Wait    float64
	Tag     string
	Text    string
	Data    []byte
}
