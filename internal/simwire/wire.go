// Package simwire translates between the simulator's JSON lines and the types of
// package policy. It decides nothing.
package simwire

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"wheatsaddle/policy"
)

// Line is one decoded input line.
type Line struct {
	Word     string
	Instance string
	Clock    float64 // ROUND
	Seed     int64   // UP
	Settings policy.Settings
	Event    policy.Event
	ListID   int // LEDGER and REGISTRY
	Nodes    []policy.Node
	HasList  bool // the event refers to list ListID
	Known    bool
}

type settings struct {
	Me      int    `json:"me"`
	Fleet   int    `json:"fleet-size"`
	Zone    string `json:"my-zone"`
	Mode    string `json:"membership-mode"`
	Ceiling struct {
		MaxAttempts   int     `json:"max-attempts"`
		MaxRetryAfter float64 `json:"max-retry-after"`
		MayCancel     bool    `json:"may-cancel"`
		Peers         bool    `json:"peers"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry-after"`
		SecondCopies  bool    `json:"second-copies"`
	} `json:"ceilings"`
	Contracts []struct {
		Name        string  `json:"name"`
		Burst       float64 `json:"burst"`
		Cap         float64 `json:"cap"`
		Price       float64 `json:"price"`
		Reservation float64 `json:"reservation"`
		Shares      float64 `json:"shares"`
		UsualRate   float64 `json:"usual-rate"`
	} `json:"contracts"`
	Profiles []struct {
		Name      string  `json:"name"`
		Goal      float64 `json:"goal-time"`
		Stretch   float64 `json:"aim-stretch"`
		Deadline  float64 `json:"deadline"`
		Worth     float64 `json:"worth"`
		LateWorth float64 `json:"late-worth"`
		Repeat    string  `json:"repeat"`
		KeyScope  string  `json:"key-scope"`
		Memory    float64 `json:"memory-span"`
		ByArrival bool    `json:"by-arrival"`
		Stream    bool    `json:"stream"`
	} `json:"profiles"`
	Extra struct {
		Young      float64 `json:"young-limit"`
		Usual      float64 `json:"usual-units"`
		Largest    float64 `json:"largest"`
		Metering   float64 `json:"metering"`
		SaysOthers bool    `json:"says-others"`
	} `json:"extra"`
	Rules struct {
		StopSending float64 `json:"stop-sending-within"`
		AskWithin   float64 `json:"ask-within"`
		Cold        float64 `json:"cold"`
		ColdFrom    float64 `json:"cold-from"`
		TipMultiple float64 `json:"tip-multiple"`
		Overload    float64 `json:"overload-for"`
		OrderPause  float64 `json:"order-pause"`
		ExtraFloor  float64 `json:"extra-floor"`
		Further     float64 `json:"further-ratio"`
		CountedOver float64 `json:"counted-over"`
	} `json:"rules"`
}

var effects = map[string]policy.Effect{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}
var groups = map[string]policy.DedupScope{"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupShard}
var statuses = map[string]policy.Status{
	"completed": policy.OK, "errored": policy.Errored, "saturated": policy.NodeFull, "overdue": policy.TimedOut,
	"refused_conn": policy.ConnectFailed, "severed": policy.ConnectionReset, "recalled": policy.Cancelled, "superseded": policy.Abandoned,
}
var states = map[string]policy.NodeState{
	"up": policy.NodeUp, "draining": policy.NodeDraining, "removed": policy.NodeRemoved,
}
var listKinds = map[string]policy.EventKind{
	"diff": policy.ListChanged, "snapshot": policy.ListReceived, "disk": policy.CachedListLoaded, "error": policy.ListFailed,
}

// look finds a word in a table, or fails with a message that names it.
func look[T any](table map[string]T, word string) (T, error) {
	v, ok := table[word]
	if !ok {
		return v, fmt.Errorf("unknown word %q", word)
	}
	return v, nil
}

func decodeSettings(raw json.RawMessage) (policy.Settings, error) {
	var w settings
	if err := json.Unmarshal(raw, &w); err != nil {
		return policy.Settings{}, err
	}
	s := policy.Settings{
		Instance: w.Me, Schedulers: w.Fleet, Zone: w.Zone, PollsEndpointList: w.Mode == "ask",
		MeanUnits: w.Extra.Usual, MaxUnits: w.Extra.Largest, SlowStartUnits: w.Extra.Young,
		UsageMeterPeriod: w.Extra.Metering, ReportsPeerUsage: w.Extra.SaysOthers,
		MaxAttempts: w.Ceiling.MaxAttempts, MayHedge: w.Ceiling.SecondCopies,
		MayCancel: w.Ceiling.MayCancel, MayCheckHealth: w.Ceiling.Probes, MayGossip: w.Ceiling.Peers,
		SendsRetryAfter: w.Ceiling.RetryAfter, MaxRetryAfter: w.Ceiling.MaxRetryAfter,
		DrainGrace: w.Rules.StopSending, PollWithin: w.Rules.AskWithin,
		SlowStartShare: w.Rules.ColdFrom, SlowStartDuration: w.Rules.Cold,
		OverloadMultiple: w.Rules.TipMultiple, OverloadWindow: w.Rules.Overload, OrderedKeyBackoff: w.Rules.OrderPause,
		RetryBudgetShare: w.Rules.Further, RetryBudgetMin: w.Rules.ExtraFloor, RetryBudgetWindow: w.Rules.CountedOver,
	}
	for _, p := range w.Profiles {
		effect, err := look(effects, p.Repeat)
		if err != nil {
			return s, err
		}
		group, err := look(groups, p.KeyScope)
		if effect == policy.IdempotentByKey && err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, policy.Class{Name: p.Name, LatencyObjective: p.Goal, ObjectiveStretch: p.Stretch,
			Deadline: p.Deadline, PriorityWeight: p.Worth, LatePriorityWeight: p.LateWorth, Effect: effect, DedupScope: group,
			DedupWindow: p.Memory, Ordered: p.ByArrival, Stream: p.Stream})
	}
	for _, c := range w.Contracts {
		s.Plans = append(s.Plans, policy.Plan{Name: c.Name, Rate: c.UsualRate, ReservedRate: c.Reservation,
			Weight: c.Shares, Price: c.Price, RateLimit: c.Cap, LimitBurst: c.Burst})
	}
	return s, nil
}

// fields decodes the leading values of a message into dst; null and missing
// trailing values past need leave dst untouched.
func fields(vals []json.RawMessage, need int, dst ...any) error {
	if len(vals) < need {
		return fmt.Errorf("%d values, want %d", len(vals), need)
	}
	for i, d := range dst {
		if i >= len(vals) {
			break
		}
		if err := json.Unmarshal(vals[i], d); err != nil {
			return fmt.Errorf("value %d: %v", i+1, err)
		}
	}
	return nil
}

func decodeLoad(raw map[string]json.RawMessage) *policy.Load {
	if raw == nil {
		return nil
	}
	get := func(key string) float64 {
		v := -1.0
		if json.Unmarshal(raw[key], &v) != nil {
			return -1
		}
		return v
	}
	return &policy.Load{Inflight: get("outstanding"), Queue: get("backlog"), Util: get("utilization")}
}

// Decode reads one line.
func Decode(text []byte) (Line, error) {
	var vals []json.RawMessage
	var ln Line
	if err := json.Unmarshal(text, &vals); err != nil {
		return ln, fmt.Errorf("not a JSON array: %v", err)
	}
	if len(vals) == 0 {
		return ln, errors.New("an empty array")
	}
	if err := json.Unmarshal(vals[0], &ln.Word); err != nil {
		return ln, fmt.Errorf("no name: %v", err)
	}
	err := ln.decode(vals[1:])
	if err != nil {
		err = fmt.Errorf("%s: %w", ln.Word, err)
	}
	return ln, err
}

func (ln *Line) decode(v []json.RawMessage) (err error) {
	ln.Known = true
	ev, inst := &ln.Event, &ln.Instance
	var status string
	var load map[string]json.RawMessage
	switch ln.Word {
	case "ROUND":
		return fields(v, 1, &ln.Clock)
	case "OVER_TO_YOU":
		return nil
	case "UP":
		var raw json.RawMessage
		if err = fields(v, 3, inst, &ln.Seed, &raw); err == nil {
			ln.Settings, err = decodeSettings(raw)
		}
		return err
	case "CRASH_NOW":
		return fields(v, 1, inst)
	case "LEDGER":
		var entries [][]json.RawMessage
		if err = fields(v, 2, &ln.ListID, &entries); err != nil {
			return err
		}
		for _, e := range entries {
			var n policy.Node
			var kind, state string
			if err = fields(e, 6, &n.ID, &n.Zone, &kind, &n.Shard, &state, &n.Weight, &n.StartTime); err != nil {
				return err
			}
			if n.State, err = look(states, state); err != nil {
				return err
			}
			ln.Nodes = append(ln.Nodes, n)
		}
		return nil
	case "REGISTRY":
		var mode string
		var rev json.RawMessage
		if err = fields(v, 2, inst, &mode, &rev, &ln.ListID); err != nil {
			return err
		}
		ev.Kind, err = look(listKinds, mode)
		ln.HasList = ev.Kind != policy.ListFailed
		return err
	case "CALL":
		r, bits := &ev.Request, 0
		ev.Kind = policy.RequestArrived
		err = fields(v, 10, inst, &r.ID, &r.Class, &r.Plan, &r.Key, &r.Deadline, &r.Volume, &r.Units,
			&r.Shard, &r.Schedulers, &bits)
		r.ClientRetry = bits&2 != 0
		return err
	case "HEADERS":
		ev.Kind = policy.ResponseStarted
		return fields(v, 5, inst, &ev.ID, &ev.Attempt, &ev.Node, &ev.Latency)
	case "COMPLETED":
		ev.Kind = policy.AttemptEnded
		err = fields(v, 7, inst, &ev.ID, &ev.Attempt, &ev.Node, &status, &ev.Latency, &ev.Finished,
			&ev.PlanUsage, &ev.PeerUsage, &load)
	case "DROPPED":
		ev.Kind = policy.ClientDisconnected
		return fields(v, 2, inst, &ev.ID)
	case "ALARM":
		ev.Kind = policy.TimerFired
		return fields(v, 2, inst, &ev.Tag)
	case "HEALTH":
		ev.Kind = policy.HealthCheckEnded
		err = fields(v, 4, inst, &ev.Node, &status, &ev.Latency, &load)
	case "INBOX":
		ev.Kind = policy.GossipReceived
		return fields(v, 3, inst, &ev.From, &ev.Data)
	default:
		ln.Known = false
		return nil
	}
	if err != nil {
		return err
	}
	ev.Load = decodeLoad(load)
	ev.Status, err = look(statuses, status)
	return err
}

// Encode appends one action line for an instance.
func Encode(dst []byte, inst string, a policy.Action) []byte {
	line := func(word string, vals ...any) []byte {
		dst = append(dst, `["`...)
		dst = append(dst, word...)
		dst = append(dst, '"')
		for _, v := range append([]any{inst}, vals...) {
			dst = append(dst, ',')
			switch x := v.(type) {
			case float64:
				dst = strconv.AppendFloat(dst, x, 'f', 3, 64)
			default:
				text, err := json.Marshal(v)
				if err != nil {
					text = []byte("null")
				}
				dst = append(dst, text...)
			}
		}
		return append(dst, "]\n"...)
	}
	switch a.Kind {
	case policy.Send:
		return line("PASS_ON", a.ID, a.Node, a.Deadline)
	case policy.Reject:
		return line("REFUSE", a.ID, a.Wait)
	case policy.Fail:
		return line("END_FAILED", a.ID)
	case policy.Cancel:
		return line("ABANDON", a.ID, a.Attempt)
	case policy.SetTimer:
		return line("SET_TIMER", a.Wait, a.Tag)
	case policy.Subscribe:
		return line("KEEP_INFORMED", true)
	case policy.RequestList:
		return line("READ_LIST")
	case policy.CheckHealth:
		return line("TEST", a.Node)
	case policy.Gossip:
		return line("ANNOUNCE", "all", base64.StdEncoding.EncodeToString(a.Data))
	case policy.Log:
		return line("PRINT", a.Text)
	}
	return dst
}

// Broken appends the line that declares an instance's module failed.
func Broken(dst []byte, inst, text string) []byte {
	a, _ := json.Marshal([]string{"BROKEN", inst, text})
	return append(append(dst, a...), '\n')
}

// End is the line that closes a reply.
const End = "[\"EOR\"]\n"
