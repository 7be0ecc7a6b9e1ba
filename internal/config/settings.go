package config

import (
	"github.com/tidwall/gjson"

	"wheatsaddle/policy"
)

// The words of the settings and their values. No other package uses the words.
var (
	effectsByWord     = map[string]policy.Effect{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}
	dedupScopesByWord = map[string]policy.DedupScope{"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupShard}
)

// Settings reads the object settings of a configuration, whose keys and words are defined by the platform.
func Settings(set gjson.Result) (policy.Settings, error) {
	r := &reader{root: set, prefix: "settings."}
	s := policy.Settings{
		Instance: int(r.number("me", 0, 0)), Schedulers: int(r.number("fleet-size", 1, 1)), Zone: r.text("my-zone", ""),
		PollsEndpointList: r.text("membership-mode", "push") == "ask",
		MeanUnits:         r.number("extra.usual-units", 1, 0), MaxUnits: r.number("extra.largest", 0, 0),
		Shards: int(r.number("extra.slots-total", 0, 0)), SlowStartUnits: r.number("extra.young-limit", 0, 0), UsageMeterPeriod: r.number("extra.metering", 0, 0),
		ReportsPeerUsage: r.flag("extra.says-others"),
		MaxAttempts:      int(r.number("ceilings.max-attempts", 1, 1)), MayHedge: r.flag("ceilings.second-copies"),
		MayCancel: r.flag("ceilings.may-cancel"), MayCheckHealth: r.flag("ceilings.probes"), MayGossip: r.flag("ceilings.peers"),
		SendsRetryAfter: r.flag("ceilings.retry-after"), MaxRetryAfter: r.number("ceilings.max-retry-after", 0, 0),
		DrainGrace: r.number("rules.stop-sending-within", 0, 0), ListStalenessBound: r.number("rules.ask-within", 0, 0),
		SlowStartShare: r.number("rules.cold-from", 0, 0), SlowStartDuration: r.number("rules.cold", 0, 0),
		OverloadMultiple: r.number("rules.tip-multiple", 0, 0), OverloadWindow: r.number("rules.overload-for", 0, 0),
		OrderedKeyBackoff: r.number("rules.order-pause", 0, 0), RetryBudgetShare: r.number("rules.further-ratio", 0, 0),
		RetryBudgetMin: r.number("rules.extra-floor", 0, 0), RetryBudgetWindow: r.number("rules.counted-over", 0, 0),
		ClientsKeepKeys: true, // a client repeats a request with the same Idempotency-Key
	}
	r.each("profiles", func(r *reader) { s.Classes = append(s.Classes, r.class()) })
	r.each("contracts", func(r *reader) { s.Plans = append(s.Plans, r.plan()) })
	return s, r.err
}

// class reads an entry of profiles.
func (r *reader) class() policy.Class {
	c := policy.Class{
		Name:               r.text("name", ""),
		LatencyObjective:   r.number("goal-time", 0, 1e-3),
		ObjectiveStretch:   r.number("aim-stretch", 0, 0),
		Deadline:           r.number("deadline", 0, 1e-3),
		PriorityWeight:     r.number("worth", 1, 0),
		LatePriorityWeight: r.number("late-worth", 0, 0),
		Effect:             enum(r, "repeat", "", effectsByWord),
		DedupWindow:        r.number("memory-span", 0, 0),
		Ordered:            r.flag("by-arrival"),
		Stream:             r.flag("stream"),
	}
	if c.Effect == policy.IdempotentByKey {
		c.DedupScope = enum(r, "key-scope", "", dedupScopesByWord)
	}
	return c
}

// plan reads an entry of contracts.
func (r *reader) plan() policy.Plan {
	return policy.Plan{
		Name:         r.text("name", ""),
		Rate:         r.number("usual-rate", 0, 0),
		ReservedRate: r.number("reservation", 0, 0),
		Weight:       r.number("shares", 1, 0),
		Price:        r.number("price", 1, 0),
		RateLimit:    r.number("cap", 0, 0),
		LimitBurst:   r.number("burst", 0, 0),
	}
}
