package scattergather

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// PeerFailed is a group whose peer did not answer, or not to the end.
type PeerFailed struct{ Group, Peer, Cause string }

func (e *PeerFailed) Error() string {
	return fmt.Sprintf("scatter: group %q: peer %q: %s", e.Group, e.Peer, e.Cause)
}

// Code implements operr.Coded.
func (*PeerFailed) Code() string { return "scatter-peer-failed" }

// Advice implements operr.Coded.
func (*PeerFailed) Advice() string {
	return "Look whether the peer runs and is reached at its address in gather.peers; until then its parts are asked from here."
}

// PeerLost is a group in which a peer lost parts, or saw copies of one differ: the process asks for them itself.
type PeerLost struct{ Group, Peer, Why string }

func (e *PeerLost) Error() string {
	return fmt.Sprintf("scatter: group %q: peer %q lost parts: %s", e.Group, e.Peer, e.Why)
}

// Code implements operr.Coded.
func (*PeerLost) Code() string { return "scatter-peer-lost" }

// Advice implements operr.Coded.
func (*PeerLost) Advice() string {
	return "Look whether the peer reaches the storage nodes; where the process lost them too, look at the parts' shards."
}

// PeerNonsense is a group whose peer sent what is no partial result of it under these rules.
type PeerNonsense struct{ Group, Peer, Why string }

func (e *PeerNonsense) Error() string {
	return fmt.Sprintf("scatter: group %q: peer %q sent no partial result of it: %s", e.Group, e.Peer, e.Why)
}

// Code implements operr.Coded.
func (*PeerNonsense) Code() string { return "scatter-peer-nonsense" }

// Advice implements operr.Coded.
func (*PeerNonsense) Advice() string {
	return "Look whether the peer runs the same release with the same section gather and the same rules of the class."
}

func init() {
	operr.Register(&PeerFailed{"g0", "east-1", "connection refused"}, &PeerLost{"g0", "east-1", "scatter-refused"},
		&PeerNonsense{"g0", "east-1", "a partial result under other rules"})
}
