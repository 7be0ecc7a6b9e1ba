package address

import "fmt"

// Conn identifies a connection from its Connect action on. It is never 0 and never used again.
type Conn uint64

// Req identifies a request. The caller chooses it, other than 0.
type Req uint64

// EventKind tells which fields of an Event count.
type EventKind uint8

// The kinds of events.
const (
	RequestQueued    EventKind = iota // Req, Idempotent, NamesShard: a request needs a connection
	RequestDropped                    // Req, Conn (0: it waits): its owner has given it up
	Connected                         // Conn
	ConnectFailed                     // Conn, Reason
	ResponseReceived                  // Conn, Verdict, KeepAlive: the response is complete
	ConnBroken                        // Conn, Reason: it ended while it carried a request
	IdleConnClosed                    // Conn: it ended, or the driver closed it, while idle
	TimerFired                        // the time of Next has come
	DrainChanged                      // Draining
	NodeRemoved                       // the node has left the list
	DemandContinued                   // requests go on without a new one, so trials that are due may start
	ProgressSeen                      // Conn: a sign of life on a connection whose request goes on
	AddressesChanged                  // Addrs: the node's addresses from now on
)

// Reason is how a connection ended, or why the state of an address changed.
type Reason uint8

// The reasons. Those up to ReasonNoFamily are of connects.
const (
	ReasonRefused    Reason = iota // nothing listens, or there is no such file
	ReasonTimedOut                 // the connect took too long
	ReasonNoResource               // this process lacks descriptors or ports: no fault of the address
	ReasonNoFamily                 // this machine lacks the address's family
	ReasonReset                    // broken after the request was sent, or the response is not HTTP
	ReasonCutOff                   // broken before the last byte of the request was sent
	ReasonUnwritten                // found ended before a byte of the request was written
	ReasonSilent                   // no sign of life in time
	ReasonSlow                     // the response came too late
	ReasonOvertaken                // another address connected first, though its connect started later
	ReasonRejecting                // requests were rejected in a row
	ReasonWrongNode                // it leads to another node
	reasonCount
)

// reasonNames are the reasons as logs show them.
var reasonNames = [reasonCount]string{"refused", "timed out", "no resource", "no family", "reset", "cut", "unwritten", "silent",
	"slow", "outrun", "turned away", "another node"}

func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return fmt.Sprint("reason ", uint8(r))
}

// Verdict is what a response shows of its address.
type Verdict uint8

// The verdicts.
const (
	VerdictServed    Verdict = iota // the node served the request
	VerdictOther                    // any other response
	VerdictRejected                 // the node rejected the request without running it
	VerdictWrongNode                // the node names itself, and is another one
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
	KeepAlive  bool // the connection may carry another request; otherwise the driver has closed it
	Draining   bool
	Addrs      []Addr
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The kinds of actions.
const (
	Connect  ActionKind = iota // Conn, Addr: Connected or ConnectFailed follows
	Write                      // Conn, Req: ResponseReceived, ConnBroken or RequestDropped follows
	Close                      // Conn, also one that is connecting: no event follows
	Fail                       // Req: there is no connection, and the request was never written
	LogState                   // Addr, State, Reason
)

// Action is something for the driver to do.
type Action struct {
	Kind   ActionKind
	Conn   Conn
	Req    Req
	Addr   Addr
	State  State
	Reason Reason
}
