// Package policy decides, for one host's I/O scheduler, which storage request
// goes to which node and when, and which is refused. This file is its whole
// interface. All times are milliseconds.
package policy

// Settings is what an instance knows at its start.
type Settings struct {
	Instance, Schedulers int
	Zone                 string
	Classes              []Class
	Plans                []Plan
	MeanUnits            float64 // mean units of a request
	MaxUnits             float64 // most units of a request
	Shards               int     // shards in all, 0: not told
	SlowStartUnits       float64 // units a cold node bears from all hosts within OverloadWindow
	UsageMeterPeriod     float64 // period of the use meter, 0: none
	ReportsPeerUsage     bool    // answers carry units served through other hosts
	PollsEndpointList    bool    // the node list must be asked for
	MaxAttempts          int
	MayHedge             bool
	MayCancel            bool
	MayCheckHealth       bool
	MayGossip            bool // messages to peers are allowed
	SendsRetryAfter      bool // clients are told when to come back
	MaxRetryAfter        float64
	DrainGrace           float64
	PollWithin           float64
	SlowStartShare       float64 // share of capacity a cold node starts at, at least
	SlowStartDuration    float64 // time after which a node is warm
	OverloadMultiple     float64 // a cold node topples past this multiple of its capacity
	OverloadWindow       float64 // ... sent for this long
	OrderedKeyBackoff    float64 // rest of an ordered key after an attempt in doubt
	RetryBudgetShare     float64 // extra attempts per request taken; with RetryBudgetWindow 0: no budget
	RetryBudgetMin       float64
	RetryBudgetWindow    float64
}

// Effect says how often a request of a class may run.
type Effect int

// The effects: repeatable freely, repeatable within a group, at most once.
const (
	Idempotent Effect = iota
	IdempotentByKey
	NonIdempotent
)

// DedupScope says which nodes discard repeats of a keyed request.
type DedupScope int

// The groups: every node, those of one zone, those of one shard.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupShard
)

// Class is a request class.
type Class struct {
	Name               string
	LatencyObjective   float64 // latency aim
	ObjectiveStretch   float64 // aim grows to this multiple of the request's own work, 0: no
	Deadline           float64
	PriorityWeight     float64
	LatePriorityWeight float64
	Effect             Effect
	DedupScope         DedupScope
	DedupWindow        float64 // keyed: how long repeats are discarded
	Ordered            bool    // requests with one key run in turn
	Stream             bool
}

// Plan holds the figures of each volume on it, over all hosts and nodes.
type Plan struct {
	Name         string
	Rate         float64 // units per second the volume is sized for
	ReservedRate float64 // units per second at full worth
	Weight       float64
	Price        float64
	RateLimit    float64 // units per second, 0: none
	LimitBurst   float64
}

// NodeState is what the list says of a node.
type NodeState int

// The node states.
const (
	NodeUp NodeState = iota
	NodeDraining
	NodeExcluded // kept from new work at once, by hand or for a request: no grace
	NodeRemoved
)

// Node is one entry of the node list.
type Node struct {
	ID, Zone  string
	Shard     int
	State     NodeState
	Weight    float64
	StartTime float64 // time of its last start, 0: long ago
}

// EventKind tells which fields of an Event count.
type EventKind int

// The kinds of events.
const (
	RequestArrived     EventKind = iota // Req
	AttemptEnded                        // ID, Attempt, Node, Status, Latency, Finished, Used, Others, Load
	ResponseStarted                     // ID, Attempt: a streamed answer has begun
	ClientDisconnected                  // ID: the client has gone
	ListReceived                        // Nodes: the complete list
	CachedListLoaded                    // Nodes: the complete list as last held, perhaps old
	ListChanged                         // Nodes: changed entries
	ListFailed                          // a call to the list failed, or the subscription broke
	TimerFired                          // Tag
	GossipReceived                      // From, Data: a peer's message
	HealthCheckEnded                    // Node, Status, Latency, Load
)

// Status is how an attempt ended.
type Status int

// The statuses. Full, ConnectFailed and Abandoned prove that the attempt never ran.
const (
	OK Status = iota
	Errored
	NodeFull
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	Abandoned
)

// Request is an arriving request.
type Request struct {
	ID, Class, Plan, Key, Volume string
	Deadline                     float64 // the client leaves at this time
	Units                        float64
	Shard                        int // -1: a new object
	Schedulers                   int // hosts through which the volume's requests come
	ClientRetry                  bool
}

// Load is a node's load report; a negative figure is absent.
type Load struct{ Inflight, Queue, Util float64 }

// Event is one thing that happened to this instance.
type Event struct {
	Kind      EventKind
	Request   Request
	ID        string
	Attempt   int
	Node      string
	Status    Status
	Latency   float64
	Finished  bool
	PlanUsage float64 // 1 + percent of the plan's rate served everywhere, 0: none
	PeerUsage float64 // units served through other hosts since the last answer
	Load      *Load
	Nodes     []Node
	Tag       string
	From      int
	Data      []byte
}

// ActionKind tells which fields of an Action count.
type ActionKind int

// The kinds of actions.
const (
	Send        ActionKind = iota // ID, Node, Until, By
	Reject                        // ID, Wait (hold-off hint)
	Fail                          // ID
	Cancel                        // ID, Attempt
	SetTimer                      // Wait, Tag
	Subscribe                     // list changes from now on
	RequestList                   // the complete list, once
	CheckHealth                   // Node
	Gossip                        // Data, to every peer
	Log                           // Text
)

// Action is one thing the instance does.
type Action struct {
	Kind     ActionKind
	ID       string
	Node     string
	Deadline float64
	StartBy  float64 // the attempt may not begin later; 0: no bound but Until
	Attempt  int
	Wait     float64
	Tag      string
	Text     string
	Data     []byte
}
