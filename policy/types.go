package policy

// Settings is what an instance knows at its start. Times and durations are in milliseconds.
type Settings struct {
	Instance, Schedulers int
	Zone                 string
	Classes              []Class
	Plans                []Plan
	MeanUnits            float64 // mean units of a request
	MaxUnits             float64 // most units of a request
	Shards               int     // shards in all, 0: unknown
	SlowStartUnits       float64 // units a node bears at its start from all schedulers within OverloadWindow
	UsageMeterPeriod     float64 // period of the usage meter, 0: none
	ReportsPeerUsage     bool    // answers carry units served through other schedulers
	PollsEndpointList    bool    // the endpoint list must be asked for
	MaxAttempts          int     // per request, the first one included
	MayHedge             bool
	MayCancel            bool
	MayCheckHealth       bool
	MayGossip            bool // messages to peers are allowed
	SendsRetryAfter      bool // rejected clients receive a Retry-After
	MaxRetryAfter        float64
	DrainGrace           float64 // a draining node stops after this time
	PollWithin           float64 // staleness bound of the endpoint list
	SlowStartShare       float64 // least share of its capacity that a node has at its start
	SlowStartDuration    float64 // time after which a node is warm
	OverloadMultiple     float64 // a cold node is overloaded past this multiple of its capacity
	OverloadWindow       float64 // if it is sent that much for this long
	OrderedKeyBackoff    float64 // backoff of an ordered key after an attempt that may have run
	RetryBudgetShare     float64 // retries per request admitted; with RetryBudgetWindow 0: no budget
	RetryBudgetMin       float64 // retries allowed in any case
	RetryBudgetWindow    float64
}

// Effect tells how often a request of a class may run.
type Effect int

// The effects: repeatable freely, repeatable within a deduplication scope, at most once.
const (
	Idempotent Effect = iota
	IdempotentByKey
	NonIdempotent
)

// DedupScope tells which nodes discard repeats of a request that is idempotent by key.
type DedupScope int

// The deduplication scopes: every node, those of one zone, those of one shard.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupShard
)

// Class is a request class.
type Class struct {
	Name               string
	LatencyObjective   float64 // ms
	ObjectiveStretch   float64 // the objective grows to this multiple of the request's own work, 0: it does not
	Deadline           float64 // ms
	PriorityWeight     float64
	LatePriorityWeight float64 // priority weight past the objective
	Effect             Effect
	DedupScope         DedupScope
	DedupWindow        float64 // idempotent by key: how long repeats are discarded, ms
	Ordered            bool    // requests with one key run one after another
	Stream             bool
}

// Plan holds the figures of each volume on it, over all schedulers and nodes.
type Plan struct {
	Name         string
	Rate         float64 // units per second that the volume is sized for
	ReservedRate float64 // units per second at full priority weight
	Weight       float64 // fair share beyond the reserved rate
	Price        float64
	RateLimit    float64 // units per second, 0: none
	LimitBurst   float64 // units
}

// NodeState is what the endpoint list reports of a node.
type NodeState int

// The node states.
const (
	NodeUp NodeState = iota
	NodeDraining
	NodeExcluded // gets no new work at once: excluded by an operator, or for one request
	NodeRemoved
)

// Node is one entry of the endpoint list.
type Node struct {
	ID, Zone  string
	Shard     int
	State     NodeState
	Weight    float64
	StartTime float64 // of its incarnation, 0: long ago
}

// EventKind tells which fields of an Event are set.
type EventKind int

// The kinds of events, with the fields that they set.
const (
	RequestArrived     EventKind = iota // Request
	AttemptEnded                        // ID, Attempt, Node, Status, Latency, Finished, PlanUsage, PeerUsage, Load
	ResponseStarted                     // ID, Attempt: a streamed response has started
	ClientDisconnected                  // ID
	ListReceived                        // Nodes: the complete list
	CachedListLoaded                    // Nodes: the complete list as last persisted, perhaps outdated
	ListChanged                         // Nodes: the changed entries
	ListFailed                          // a call to the list failed, or the subscription broke
	TimerFired                          // Tag
	GossipReceived                      // From, Data: a peer's message
	HealthCheckEnded                    // Node, Status, Latency, Load
)

// Status is how an attempt ended.
type Status int

// The statuses. NodeFull, ConnectFailed and Abandoned prove that the attempt never ran.
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
	Deadline                     float64 // the client disconnects at this time
	Units                        float64
	Shard                        int // negative: a new object, which any shard may take
	Schedulers                   int // through which the volume's requests come
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
	Latency   float64 // ms
	Finished  bool    // the client got its answer
	PlanUsage float64 // 1 + percent of the plan's rate served everywhere, 0: none
	PeerUsage float64 // units served through other schedulers since the last answer
	Load      *Load
	Nodes     []Node
	Tag       string
	From      int
	Data      []byte
}

// ActionKind tells which fields of an Action are set.
type ActionKind int

// The kinds of actions, with the fields that they set.
const (
	Send        ActionKind = iota // ID, Node, Deadline, StartBy
	Reject                        // ID, Wait (Retry-After)
	Fail                          // ID
	Cancel                        // ID, Attempt
	SetTimer                      // Wait, Tag
	Subscribe                     // to changes of the endpoint list
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
	StartBy  float64 // the attempt may not begin later; 0: no bound but Deadline
	Attempt  int
	Wait     float64 // ms
	Tag      string
	Text     string
	Data     []byte
}
