// Package connreuse decides when a connection to a storage node may carry its next request. A response carries no request id,
// so a second response that arrives late would be taken for the response to the next request on its connection. A connection
// therefore rests after each response: bytes that arrive while it rests were not requested, and the connection is closed.
//
// Invariants:
//   - A connection carries no request within Rest after its last response.
//   - A node that has sent unrequested bytes within SuspectTime is suspect. Its connections rest for SuspectRest.
//
// The package has no clock and no I/O. It does not know connections: the caller passes the time and asks how long to rest.
package connreuse

import "time"

// Settings are the times of a History. The zero value means that connections do not rest.
type Settings struct {
	Rest        time.Duration // after each response
	SuspectRest time.Duration // after each response of a suspect node; at least Rest
	SuspectTime time.Duration // from the last unrequested bytes until the node is no longer suspect
}

// Defaults returns the settings of the daemon.
func Defaults() Settings {
	return Settings{Rest: 50 * time.Millisecond, SuspectRest: 200 * time.Millisecond, SuspectTime: time.Minute}
}

// History records the unrequested bytes of one node. It must be used by one goroutine at a time.
type History struct {
	settings     Settings
	unrequested  int64
	suspectUntil time.Duration
}

// NewHistory returns the history of a node that has sent no unrequested bytes.
func NewHistory(settings Settings) History { return History{settings: settings} }

// RecordUnrequested records that bytes that were not requested arrived on a connection.
func (h *History) RecordUnrequested(now time.Duration) {
	h.unrequested++
	h.suspectUntil = now + h.settings.SuspectTime
}

// Unrequested returns on how many connections unrequested bytes arrived.
func (h *History) Unrequested() int64 { return h.unrequested }

// Rest returns how long a connection whose response ends now must rest before its next request.
func (h *History) Rest(now time.Duration) time.Duration {
	if h.unrequested > 0 && now < h.suspectUntil {
		return max(h.settings.Rest, h.settings.SuspectRest)
	}
	return h.settings.Rest
}
