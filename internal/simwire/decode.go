// Package simwire translates between the simulator's JSON lines and the types of package policy.
//
// Each line is an array whose first value is a word that names the message. Only this package knows the
// simulator's words and setting names. A line with an unknown word is decoded as UnknownLine. A line
// with a known word and malformed values is an error. The package makes no decisions and has no state.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"

	"wheatsaddle/policy"
)

// LineKind tells what a line means, and which fields of a Line are set besides Word.
type LineKind int

// The kinds of lines, with the fields that they set.
const (
	UnknownLine   LineKind = iota
	BatchStart             // Clock
	BatchEnd               // none; the batch must be answered
	InstanceStart          // Instance, Seed, Settings
	InstanceKill           // Instance
	NodeList               // ListID, Nodes
	InstanceEvent          // Instance, Event, HasList, ListID
)

// Line is one decoded input line.
type Line struct {
	Kind     LineKind
	Word     string // the simulator's word for the line
	Instance string
	Clock    float64 // ms
	Seed     int64
	Settings policy.Settings
	Event    policy.Event
	ListID   int
	Nodes    []policy.Node
	HasList  bool // the nodes of the event are those of the list ListID
}

// UnknownWordError reports a value that is not one of the allowed words.
type UnknownWordError struct{ Word string }

func (e *UnknownWordError) Error() string { return fmt.Sprintf("unknown word %q", e.Word) }

// MissingValuesError reports a line with fewer values than its word requires.
type MissingValuesError struct{ Got, Want int }

func (e *MissingValuesError) Error() string { return fmt.Sprintf("%d values, want %d", e.Got, e.Want) }

var (
	statuses = map[string]policy.Status{
		"completed": policy.OK, "errored": policy.Errored, "saturated": policy.NodeFull,
		"overdue": policy.TimedOut, "refused_conn": policy.ConnectFailed, "severed": policy.ConnectionReset,
		"recalled": policy.Cancelled, "superseded": policy.Abandoned,
	}
	nodeStates = map[string]policy.NodeState{
		"up": policy.NodeUp, "draining": policy.NodeDraining, "removed": policy.NodeRemoved,
	}
	listEvents = map[string]policy.EventKind{
		"diff": policy.ListChanged, "snapshot": policy.ListReceived,
		"disk": policy.CachedListLoaded, "error": policy.ListFailed,
	}
)

// clientRetryFlag marks a retry by the client in the flags of a request.
const clientRetryFlag = 2

// Decode reads one line. On an error the line is not valid.
func Decode(text []byte) (Line, error) {
	var values []json.RawMessage
	var line Line
	if err := json.Unmarshal(text, &values); err != nil {
		return line, fmt.Errorf("line is not a JSON array: %w", err)
	}
	if len(values) == 0 {
		return line, errors.New("line is an empty array")
	}
	if err := json.Unmarshal(values[0], &line.Word); err != nil {
		return line, fmt.Errorf("line has no name: %w", err)
	}
	if err := line.decode(values[1:]); err != nil {
		return line, fmt.Errorf("%s: %w", line.Word, err)
	}
	return line, nil
}

func (l *Line) decode(values []json.RawMessage) error {
	switch l.Word {
	case "ROUND":
		l.Kind = BatchStart
		return decodeValues(values, 1, &l.Clock)
	case "OVER_TO_YOU":
		l.Kind = BatchEnd
		return nil
	case "UP":
		l.Kind = InstanceStart
		return l.decodeStart(values)
	case "CRASH_NOW":
		l.Kind = InstanceKill
		return decodeValues(values, 1, &l.Instance)
	case "LEDGER":
		l.Kind = NodeList
		return l.decodeNodeList(values)
	}
	l.Kind = InstanceEvent
	return l.decodeEvent(values)
}

func (l *Line) decodeStart(values []json.RawMessage) error {
	var raw json.RawMessage
	if err := decodeValues(values, 3, &l.Instance, &l.Seed, &raw); err != nil {
		return err
	}
	var err error
	l.Settings, err = decodeSettings(raw)
	return err
}

func (l *Line) decodeNodeList(values []json.RawMessage) error {
	var entries [][]json.RawMessage
	if err := decodeValues(values, 2, &l.ListID, &entries); err != nil {
		return err
	}
	for _, entry := range entries {
		var n policy.Node
		var kind, state string
		err := decodeValues(entry, 6, &n.ID, &n.Zone, &kind, &n.Shard, &state, &n.Weight, &n.StartTime)
		if err != nil {
			return err
		}
		if n.State, err = lookup(nodeStates, state); err != nil {
			return err
		}
		l.Nodes = append(l.Nodes, n)
	}
	return nil
}

func (l *Line) decodeEvent(values []json.RawMessage) error {
	ev := &l.Event
	switch l.Word {
	case "REGISTRY":
		return l.decodeListEvent(values)
	case "CALL":
		return l.decodeRequest(values)
	case "HEADERS":
		ev.Kind = policy.ResponseStarted
		return decodeValues(values, 5, &l.Instance, &ev.ID, &ev.Attempt, &ev.Node, &ev.Latency)
	case "COMPLETED":
		ev.Kind = policy.AttemptEnded
		return l.decodeOutcome(values, 7, func(status *string, load *map[string]json.RawMessage) []any {
			return []any{&l.Instance, &ev.ID, &ev.Attempt, &ev.Node, status, &ev.Latency, &ev.Finished,
				&ev.PlanUsage, &ev.PeerUsage, load}
		})
	case "DROPPED":
		ev.Kind = policy.ClientDisconnected
		return decodeValues(values, 2, &l.Instance, &ev.ID)
	case "ALARM":
		ev.Kind = policy.TimerFired
		return decodeValues(values, 2, &l.Instance, &ev.Tag)
	case "HEALTH":
		ev.Kind = policy.HealthCheckEnded
		return l.decodeOutcome(values, 4, func(status *string, load *map[string]json.RawMessage) []any {
			return []any{&l.Instance, &ev.Node, status, &ev.Latency, load}
		})
	case "INBOX":
		ev.Kind = policy.GossipReceived
		return decodeValues(values, 3, &l.Instance, &ev.From, &ev.Data)
	}
	l.Kind = UnknownLine
	return nil
}

func (l *Line) decodeListEvent(values []json.RawMessage) error {
	var mode string
	var revision json.RawMessage
	if err := decodeValues(values, 2, &l.Instance, &mode, &revision, &l.ListID); err != nil {
		return err
	}
	var err error
	l.Event.Kind, err = lookup(listEvents, mode)
	l.HasList = l.Event.Kind != policy.ListFailed
	return err
}

func (l *Line) decodeRequest(values []json.RawMessage) error {
	l.Event.Kind = policy.RequestArrived
	r, flags := &l.Event.Request, 0
	err := decodeValues(values, 10, &l.Instance, &r.ID, &r.Class, &r.Plan, &r.Key, &r.Deadline, &r.Volume, &r.Units,
		&r.Shard, &r.Schedulers, &flags)
	r.ClientRetry = flags&clientRetryFlag != 0
	return err
}

// decodeOutcome decodes an event that has a status and may have a load report. The function targets
// returns the variables for its values.
func (l *Line) decodeOutcome(values []json.RawMessage, minValues int, targets func(*string, *map[string]json.RawMessage) []any) error {
	var status string
	var load map[string]json.RawMessage // the texts of JSON errors contain this type
	if err := decodeValues(values, minValues, targets(&status, &load)...); err != nil {
		return err
	}
	l.Event.Load = loadReport(load).decode()
	var err error
	l.Event.Status, err = lookup(statuses, status)
	return err
}

// loadReport is the load report of a node as sent; nil: the event has none.
type loadReport map[string]json.RawMessage

func (r loadReport) decode() *policy.Load {
	if r == nil {
		return nil
	}
	return &policy.Load{Inflight: r.number("outstanding"), Queue: r.number("backlog"), Util: r.number("utilization")}
}

// number returns a value of the report, or -1 if it is absent or not a number.
func (r loadReport) number(key string) float64 {
	v := -1.0
	if json.Unmarshal(r[key], &v) != nil {
		return -1
	}
	return v
}

// decodeValues decodes the leading values into the targets. At least minValues values are required. A
// null value and a missing trailing value leave the target unchanged.
func decodeValues(values []json.RawMessage, minValues int, targets ...any) error {
	if len(values) < minValues {
		return &MissingValuesError{Got: len(values), Want: minValues}
	}
	for i, target := range targets[:min(len(targets), len(values))] {
		if err := json.Unmarshal(values[i], target); err != nil {
			return fmt.Errorf("value %d: %w", i+1, err)
		}
	}
	return nil
}

// lookup returns the value of a word in a table, or an UnknownWordError.
func lookup[T any](table map[string]T, word string) (T, error) {
	v, ok := table[word]
	if !ok {
		return v, &UnknownWordError{Word: word}
	}
	return v, nil
}
