package httpfront

import (
	"fmt"

	"wheatsaddle/internal/operr"
)

// UnrequestedBytesError reports that a storage node sent bytes on a connection after a complete response, or before a request.
type UnrequestedBytesError struct {
	Node        string
	Connections int64 // on which that has happened so far
}

// Error implements error.
func (e *UnrequestedBytesError) Error() string {
	return fmt.Sprintf("storage node %s sent bytes that no request asked for on %d connections so far", e.Node, e.Connections)
}

// Code implements operr.Coded.
func (e *UnrequestedBytesError) Code() string { return "node-unrequested-bytes" }

// Advice implements operr.Coded.
func (e *UnrequestedBytesError) Advice() string {
	return "Check the storage node for responses that it sends twice or too late. Its connections rest longer between requests for a minute, and each such connection is closed."
}

func init() { operr.Register(&UnrequestedBytesError{"st-1", 3}) }
