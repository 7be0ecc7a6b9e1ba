package policy

// Settings configures an instance. Times and durations are in milliseconds.
type Settings struct {
	Instance, Schedulers int
	Zone                 string
	Classes              []Class
	Plans                []Plan
	MeanUnits            float64 // mean units of a request
	MaxUnits             float64 // maximum units of a request
	Shards               int     // total number of shards; 0: unknown
	SlowStartUnits       float64 // units that a node can take right after its start from all schedulers within OverloadWindow
	UsageMeterPeriod     float64 // period of the usage meter; 0: there is no meter
	ReportsPeerUsage     bool    // answers carry the units served through other schedulers
	PollsEndpointList    bool    // the endpoint list must be polled; it is not pushed
	MaxAttempts          int     // per request, including the first one
	MayHedge             bool
	MayCancel            bool
	MayCheckHealth       bool
	MayGossip            bool // messages to peers are allowed
	SendsRetryAfter      bool // rejected clients receive a Retry-After
	MaxRetryAfter        float64
	DrainGrace           float64 // time from the drain report until the node may stop
	ListStalenessBound   float64 // staleness bound of the endpoint list
	SlowStartShare       float64 // minimum share of its full capacity that a node has at its start
	SlowStartDuration    float64 // time after its start at which a node is warmed up
	OverloadMultiple     float64 // a node in slow start is overloaded above this multiple of its capacity
	OverloadWindow       float64 // time over which that load is measured
	OrderedKeyBackoff    float64 // backoff of an ordered key after an attempt that may still run
	RetryBudgetShare     float64 // retries allowed per admitted request
	RetryBudgetMin       float64 // retries allowed in every window regardless of the number of requests
	RetryBudgetWindow    float64 // time window of the retry budget; 0: retries have no budget
	// ClientsKeepKeys tells that a client repeats a rejected request under the same idempotency key, by which nodes discard it. Without
	// it the repeat of a request that may have run would run again.
	ClientsKeepKeys bool
}

// Effect tells whether a request of a class may run more than once.
type Effect int

// The effects.
const (
	Idempotent      Effect = iota // may run any number of times
	IdempotentByKey               // may be repeated within its deduplication scope and window
	NonIdempotent                 // may run at most once
)

// DedupScope tells which nodes discard repeats of a request that is idempotent by key.
type DedupScope int

// The deduplication scopes.
const (
	DedupAll   DedupScope = iota // all nodes
	DedupZone                    // the nodes of the zone of the first attempt
	DedupShard                   // the nodes of the shard of the first attempt
)

// Class is a request class.
type Class struct {
	Name               string
	LatencyObjective   float64 // ms
	ObjectiveStretch   float64 // the objective grows to this multiple of the request's own work; 0: it is fixed
	Deadline           float64 // ms
	PriorityWeight     float64
	LatePriorityWeight float64 // priority weight past the objective
	Effect             Effect
	DedupScope         DedupScope
	DedupWindow        float64 // time during which nodes discard repeats of a request that is idempotent by key, ms
	Ordered            bool    // requests with the same key run one after another
	Stream             bool    // responses are streamed
}

// Plan holds the quota of each volume on the plan, over all schedulers and nodes.
type Plan struct {
	Name         string
	Rate         float64 // units per second that the volume is sized for
	ReservedRate float64 // units per second at full priority weight
	Weight       float64 // weight in the fair sharing of the capacity beyond the reserved rates
	Price        float64
	RateLimit    float64 // units per second; 0: no limit
	LimitBurst   float64 // units that the rate limit allows at once
}

// NodeState is the state of a node in the endpoint list.
type NodeState int

// The node states.
const (
	NodeUp NodeState = iota
	NodeDraining
	NodeExcluded // gets no new work from now on: excluded by an operator, or for one request
	NodeRemoved
)

// Node is one entry of the endpoint list.
type Node struct {
	ID, Zone  string
	Shard     int
	State     NodeState
	Weight    float64
	StartTime float64 // when this incarnation of the node started; 0: long ago
}

// EventKind tells which fields of an Event are set.
type EventKind int

// The kinds of events, with the fields that they set.
const (
	RequestArrived      EventKind = iota // Request
	AttemptEnded                         // ID, Attempt, Node, Status, Latency, Finished, PlanUsage, PeerUsage, Load
	ResponseStarted                      // ID, Attempt: a streamed response has started
	ClientDisconnected                   // ID
	ListReceived                         // Nodes: the complete list
	CachedListLoaded                     // Nodes: the complete list as last persisted, possibly outdated or empty; passed once after New, starts the ticks
	ListChanged                          // Nodes: the changed entries
	ListFailed                           // a call for the list failed, or the subscription ended
	TimerFired                           // Tag
	GossipReceived                       // From, Data: a peer's message
	HealthCheckEnded                     // Node, Status, Latency, Load
	AttemptTransferring                  // ID, Attempt: the node takes the request slowly, but makes progress
	ResponseArriving                     // ID, Attempt, Latency: a response has begun to arrive that is long or slow; nothing of it has been passed on
	TransferPaused                       // ID, Attempt: a transfer that was reported by one of the two has paused for long
)

// Status is how an attempt ended.
type Status int

// The statuses. After NodeFull, ConnectFailed or Abandoned it is certain that the attempt never ran.
const (
	OK Status = iota
	Errored
	NodeFull // the node rejected the attempt because it is full
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	Abandoned // dropped before it was sent to the node
)

// Request is an arriving request.
type Request struct {
	ID, Class, Plan, Key, Volume string
	IdempotencyKey               string  // by which nodes discard the client's own repeats; "": unknown, or the front chooses it
	Deadline                     float64 // time at which the client disconnects
	Units                        float64
	Shard                        int  // negative: a new object, which may be placed on any shard
	Schedulers                   int  // number of schedulers through which the volume's requests arrive
	ClientRetry                  bool // the client marked the request as a retry
}

// Load is a node's load report. A negative value means that the report does not have it.
type Load struct{ Inflight, Queue, Util float64 }

// Event is an input of the instance.
type Event struct {
	Kind      EventKind
	Request   Request
	ID        string
	Attempt   int
	Node      string
	Status    Status
	Latency   float64 // ms
	Finished  bool    // the client received its answer
	PlanUsage float64 // 1 + percent of the plan's rate that all schedulers served; 0: not reported
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
	Reject                        // ID, Wait (Retry-After), RepeatBy, Reason
	Fail                          // ID, Reason
	Cancel                        // ID, Attempt, OnlyIfSilent
	SetTimer                      // Wait, Tag
	Subscribe                     // requests the changes of the endpoint list
	RequestList                   // requests the complete list once
	CheckHealth                   // Node
	Gossip                        // Data: a message to every peer
	Log                           // Text
)

// Action is an output of the instance.
type Action struct {
	Kind     ActionKind
	ID       string
	Node     string
	Deadline float64
	StartBy  float64 // latest time at which the attempt may begin; 0: only Deadline limits it
	Attempt  int
	Wait     float64 // ms
	RepeatBy float64 // latest time at which the client's repeat may arrive; 0: it may come at any time
	Tag      string
	Text     string
	Data     []byte
	Reason   Reason
	// OnlyIfSilent makes a Cancel void for an attempt whose node is taking the request or giving the response. In that case an
	// AttemptTransferring follows.
	OnlyIfSilent bool
}

// Reason is why a request was rejected or failed, for logs and metrics.
type Reason string

// The reasons.
const (
	ReasonInvalid       Reason = "invalid"        // unknown class or plan, or no valid size
	ReasonNoTime        Reason = "no-time"        // its objective or deadline is too near
	ReasonQueueTooLong  Reason = "queue-too-long" // its wait and the expected latency would pass its objective
	ReasonOverloaded    Reason = "overloaded"     // it is late, and each node of the shard is overloaded
	ReasonNodeTooSlow   Reason = "node-too-slow"  // the expected latency exceeds the limit of its band
	ReasonRateLimit     Reason = "rate-limit"     // its volume's limit has no tokens in time
	ReasonAttemptFailed Reason = "attempt-failed" // an attempt ended without an answer, and another is not allowed
	ReasonMayHaveRun    Reason = "may-have-run"   // the client repeats a request that may have run, and nodes discard the repeat no more
)
