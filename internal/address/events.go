package address

import "fmt"

// Conn identifies a connection from its Connect action on. It is never 0 and never reused.
type Conn uint64

// Req identifies a request. The caller chooses a value other than 0.
type Req uint64

// EventKind is the kind of an Event. It determines which fields are used.
type EventKind uint8

// The kinds of events.
const (
	RequestQueued    EventKind = iota // Req, Idempotent, NamesShard: a request needs a connection
	RequestCancelled                  // Req, Conn (0: it waits): its owner has cancelled it
	Connected                         // Conn
	ConnectFailed                     // Conn, Reason
	ResponseReceived                  // Conn, Verdict, KeepAlive, Resting: the response is complete
	ConnBroken                        // Conn, Reason: it was closed or reset while it carried a request
	IdleConnClosed                    // Conn: the peer or the driver closed it while it was idle
	TimerFired                        // the timer of Next has expired
	DrainChanged                      // Draining
	NodeRemoved                       // the node was removed from the list
	DemandContinued                   // earlier requests are still in progress, so trials that are due may start
	ProgressSeen                      // Conn: data was received on a connection while its request is in progress
	AddressesChanged                  // Addrs: the node's addresses from now on
	ConnRested                        // Conn: the rest after its last response has ended
)

// Reason is why a connection failed or the state of an address changed.
type Reason uint8

// The reasons. Those up to ReasonNoFamily apply to connects.
const (
	ReasonRefused    Reason = iota // nothing listens, or the socket file does not exist
	ReasonTimedOut                 // the connect took too long
	ReasonNoResource               // this process is out of descriptors or ports, which is no fault of the address
	ReasonNoFamily                 // this machine does not support the address family
	ReasonReset                    // broken after the request was sent, or the response is not HTTP
	ReasonCutOff                   // broken before the last byte of the request was sent
	ReasonUnwritten                // found closed before a byte of the request was written
	ReasonSilent                   // no data was received in time
	ReasonSlow                     // the response came too late
	ReasonOvertaken                // another address connected first, although its connect started later
	ReasonRejecting                // several requests in a row were rejected
	ReasonWrongNode                // it leads to another node
	reasonCount
)

// reasonNames are the names of the reasons in logs.
var reasonNames = [reasonCount]string{"refused", "timed out", "no resource", "no family", "reset", "cut", "unwritten", "silent",
	"slow", "outrun", "turned away", "another node"}

func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return fmt.Sprint("reason ", uint8(r))
}

// Verdict is what a response shows about its address.
type Verdict uint8

// The verdicts.
const (
	VerdictServed    Verdict = iota // the node served the request
	VerdictOther                    // any other response
	VerdictRejected                 // the node rejected the request without executing it
	VerdictWrongNode                // the response contains the id of another node
)

// Event is something that happened.
type Event struct {
	Kind       EventKind
	Conn       Conn
	Req        Req
	Reason     Reason
	Verdict    Verdict
	Idempotent bool // the request may be repeated
	NamesShard bool // the request names a shard, so that another node rejects it
	KeepAlive  bool // the connection may carry another request; if false, the driver has closed it
	Resting    bool // ConnRested follows, and before it the connection must not carry another request
	Draining   bool
	Addrs      []Addr
}

// ActionKind is the kind of an Action. It determines which fields are used.
type ActionKind uint8

// The kinds of actions.
const (
	Connect  ActionKind = iota // Conn, Addr: Connected or ConnectFailed follows
	Write                      // Conn, Req: ResponseReceived, ConnBroken or RequestCancelled follows
	Close                      // Conn, which may still be connecting: no event follows
	Fail                       // Req: there is no connection for it, and it was never written
	LogState                   // Addr, State, Reason
)

// Action is an action for the driver to carry out.
type Action struct {
	Kind   ActionKind
	Conn   Conn
	Req    Req
	Addr   Addr
	State  State
	Reason Reason
}
