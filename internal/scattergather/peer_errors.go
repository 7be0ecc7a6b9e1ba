package scattergather

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// PeerFailed is the error of a group whose peer did not answer or did not complete its answer.
type PeerFailed struct{ Group, Peer, Cause string }

func (e *PeerFailed) Error() string {
	return fmt.Sprintf("scatter: group %q: peer %q: %s", e.Group, e.Peer, e.Cause)
}

// Code implements operr.Coded.
func (*PeerFailed) Code() string { return "scatter-peer-failed" }

// Advice implements operr.Coded.
func (*PeerFailed) Advice() string {
	return "Check that the peer runs and is reachable at its address in gather.peers. Until then this process requests its parts itself."
}

// PeerLostParts is the error of a group in which a peer lost parts or saw diverging copies of one. This process requests them itself.
type PeerLostParts struct{ Group, Peer, Why string }

func (e *PeerLostParts) Error() string {
	return fmt.Sprintf("scatter: group %q: peer %q lost parts: %s", e.Group, e.Peer, e.Why)
}

// Code implements operr.Coded.
func (*PeerLostParts) Code() string { return "scatter-peer-lost" }

// Advice implements operr.Coded.
func (*PeerLostParts) Advice() string {
	return "Check that the peer reaches the storage nodes. If this process lost the parts too, check their shards."
}

// PeerInvalidResult is the error of a group whose peer sent something other than a partial result of the group under these rules.
type PeerInvalidResult struct{ Group, Peer, Why string }

func (e *PeerInvalidResult) Error() string {
	return fmt.Sprintf("scatter: group %q: peer %q sent an invalid partial result: %s", e.Group, e.Peer, e.Why)
}

// Code implements operr.Coded.
func (*PeerInvalidResult) Code() string { return "scatter-peer-nonsense" }

// Advice implements operr.Coded.
func (*PeerInvalidResult) Advice() string {
	return "Check that the peer runs the same release, with the same section gather and the same rules for the class."
}

func init() {
	operr.Register(&PeerFailed{"g0", "east-1", "connection refused"}, &PeerLostParts{"g0", "east-1", "scatter-refused"},
		&PeerInvalidResult{"g0", "east-1", "a partial result under other rules"})
}
