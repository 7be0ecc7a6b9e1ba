package address

import "fmt"

// Conn names a connection from its Connect action on; it is never 0 and never used again.
type Conn uint64

// Req names a request; the caller's own, not 0.
type Req uint64

// EventKind tells which fields of an Event count.
type EventKind uint8

// The kinds of events.
const (
	RequestQueued    EventKind = iota // Req, Safe, Named: it wants to be written
	RequestDropped                    // Req, Conn (0: it waits): its owner has given it up
	Connected                         // Conn
	ConnectFailed                     // Conn, Why: it did not come up
	ResponseReceived                  // Conn, Verdict, Keep: a whole answer has come
	ConnBroken                        // Conn, Why: it ended while it carried a request
	IdleConnClosed                    // Conn: it ended, or the driver ended it, while idle
	TimerFired                        // the time of Next has come
	DrainChanged                      // On
	NodeRemoved                       // the node has left the list
	DemandContinued                   // work goes on, though no request comes: what is due may be tried
	ProgressSeen                      // Conn: a sign of life on a connection whose request goes on
	AddressesChanged                  // Addrs: the node's addresses from now on
)

// Reason is how a connection ended.
type Reason uint8

// The ways a connection ends. Those up to ReasonNoFamily are of connects.
const (
	ReasonRefused    Reason = iota // nobody listens, or no such file
	ReasonTimedOut                 // it did not come up in time
	ReasonNoResource               // this program lacks descriptors or ports: the address is not at fault
	ReasonNoFamily                 // this machine lacks the address's family
	ReasonReset                    // it broke after the request, or gave what is no answer
	ReasonCutOff                   // it broke before the request's last byte
	ReasonUnwritten                // it was found ended before a byte of the request was written
	ReasonSilent                   // nothing was heard in time
	ReasonSlow                     // an answer came too late
	ReasonOvertaken                // another address came up first, though it started later
	ReasonRejecting                // requests turned away in a row
	ReasonWrongNode                // it leads to another node
	reasonCount
)

// reasonNames are the ways as logs show them.
var reasonNames = [reasonCount]string{"refused", "timed out", "no resource", "no family", "reset", "cut", "unwritten", "silent",
	"slow", "outrun", "turned away", "another node"}

func (w Reason) String() string {
	if w < reasonCount {
		return reasonNames[w]
	}
	return fmt.Sprint("why ", uint8(w))
}

// Verdict is what an answer shows about its address.
type Verdict uint8

// The verdicts.
const (
	VerdictServed    Verdict = iota // the node served it
	VerdictOther                    // it answered otherwise
	VerdictRejected                 // refused without running it
	VerdictWrongNode                // it says that it is another node
)

// Event is one thing that happened.
type Event struct {
	Kind       EventKind
	Conn       Conn
	Req        Req
	Reason     Reason
	Verdict    Verdict
	Idempotent bool // the request's class may be repeated
	NamesShard bool // the request names a shard, so that a wrong node turns it away
	KeepAlive  bool // the connection may carry another request; else the driver has closed it
	Draining   bool
	Addrs      []Addr
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The kinds of actions.
const (
	Connect  ActionKind = iota // Conn, Addr: answer with Connected or Failed
	Write                      // Conn, Req: answer with Answered, Broken or Drop
	Close                      // Conn: also one that is coming up; no event follows
	Fail                       // Req: no connection; it was never written
	LogState                   // Addr, State, Why: for the log
)

// Action is one thing for the driver to do.
type Action struct {
	Kind   ActionKind
	Conn   Conn
	Req    Req
	Addr   Addr
	State  State
	Reason Reason
}
