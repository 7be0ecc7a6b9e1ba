package core

import (
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/policy"
)

// NodeClient carries attempts to one storage node. None of its methods blocks.
type NodeClient interface {
	// Send accepts an attempt and later calls its Done. It returns false if the client's mailbox is full. In that case
	// nothing is sent and Done is not called.
	Send(*Attempt) bool
	// Cancel cancels an attempt that was sent. The client still calls its Done.
	Cancel(*Attempt)
	// CheckHealth requests the node's load and calls the function with the result and the latency. If it returns false,
	// the function is not called.
	CheckHealth(func(Result, time.Duration)) bool
	// Connect opens a connection before it is needed and calls the function from another goroutine. The status is OK,
	// ConnectFailed or Abandoned. Abandoned means that no connection is needed, because one is idle or the node drains or
	// was removed, or that no file descriptor is free. If Connect returns false, the function is not called.
	Connect(func(policy.Status)) bool
	// Drain(true) stops new attempts at once, including those in the client's mailbox. Drain(false) allows them again.
	Drain(bool)
	// SetAddresses replaces the node's addresses. A connection to an address that was removed finishes its attempts.
	SetAddresses([]address.Addr)
	// Close is called when the node was removed from the list. The client finishes the outstanding attempts and then ends.
	Close()
}

// Node is a list entry with its addresses, without duplicates.
type Node struct {
	policy.Node
	Addresses []address.Addr
}
