package core

import (
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/policy"
)

// NodeClient carries attempts to one storage node. None of its methods blocks.
type NodeClient interface {
	// Send accepts an attempt, whose Done it will call; false: its mailbox is full and nothing is sent.
	Send(*Attempt) bool
	// Cancel ends an attempt that was sent; its Done is called all the same.
	Cancel(*Attempt)
	// CheckHealth requests the node's load and calls back with the result and its latency; false: it will not.
	CheckHealth(func(Result, time.Duration)) bool
	// NewNodeClient opens one connection ahead of need and calls back from another goroutine: OK, ConnectFailed, or Abandoned if
	// none is needed (one is idle, or the node drains or was removed) or no file descriptor is free. False: it will not
	// call back.
	Connect(func(policy.Status)) bool
	// Drain(true) stops new attempts at once, also those in its mailbox; Drain(false) allows them again.
	Drain(bool)
	// SetAddresses replaces the node's addresses; a connection to one that was removed finishes what it carries.
	SetAddresses([]address.Addr)
	// Close is called when the node has left the list: outstanding attempts are finished, then the client ends.
	Close()
}

// Node is a list entry with its addresses, without duplicates.
type Node struct {
	policy.Node
	Addresses []address.Addr
}
