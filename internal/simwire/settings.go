package simwire

import (
	"encoding/json"

	"wheatsaddle/policy"
)

// settings are the settings of an instance, with the simulator's names. The texts of JSON errors contain
// the names of this type and its fields, so renaming them changes error texts.
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

// polledListMode is the membership mode in which the endpoint list must be polled.
const polledListMode = "ask"

var (
	effects = map[string]policy.Effect{
		"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent,
	}
	dedupScopes = map[string]policy.DedupScope{
		"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupShard,
	}
)

func decodeSettings(raw json.RawMessage) (policy.Settings, error) {
	var wire settings
	if err := json.Unmarshal(raw, &wire); err != nil {
		return policy.Settings{}, err
	}
	s := policy.Settings{
		Instance: wire.Me, Schedulers: wire.Fleet, Zone: wire.Zone, PollsEndpointList: wire.Mode == polledListMode,

		MeanUnits: wire.Extra.Usual, MaxUnits: wire.Extra.Largest, SlowStartUnits: wire.Extra.Young,
		UsageMeterPeriod: wire.Extra.Metering, ReportsPeerUsage: wire.Extra.SaysOthers,

		MaxAttempts: wire.Ceiling.MaxAttempts, MayHedge: wire.Ceiling.SecondCopies, MayCancel: wire.Ceiling.MayCancel,
		MayCheckHealth: wire.Ceiling.Probes, MayGossip: wire.Ceiling.Peers,
		SendsRetryAfter: wire.Ceiling.RetryAfter, MaxRetryAfter: wire.Ceiling.MaxRetryAfter,

		DrainGrace: wire.Rules.StopSending, ListStalenessBound: wire.Rules.AskWithin,
		SlowStartShare: wire.Rules.ColdFrom, SlowStartDuration: wire.Rules.Cold,
		OverloadMultiple: wire.Rules.TipMultiple, OverloadWindow: wire.Rules.Overload,
		OrderedKeyBackoff: wire.Rules.OrderPause, RetryBudgetShare: wire.Rules.Further,
		RetryBudgetMin: wire.Rules.ExtraFloor, RetryBudgetWindow: wire.Rules.CountedOver,

		ClientsKeepKeys: true,
	}
	for _, p := range wire.Profiles {
		effect, scope, err := decodeEffect(p.Repeat, p.KeyScope)
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, policy.Class{
			Name: p.Name, LatencyObjective: p.Goal, ObjectiveStretch: p.Stretch, Deadline: p.Deadline,
			PriorityWeight: p.Worth, LatePriorityWeight: p.LateWorth, Effect: effect, DedupScope: scope,
			DedupWindow: p.Memory, Ordered: p.ByArrival, Stream: p.Stream,
		})
	}
	for _, c := range wire.Contracts {
		s.Plans = append(s.Plans, policy.Plan{
			Name: c.Name, Rate: c.UsualRate, ReservedRate: c.Reservation, Weight: c.Shares, Price: c.Price,
			RateLimit: c.Cap, LimitBurst: c.Burst,
		})
	}
	return s, nil
}

// decodeEffect decodes the effect and the deduplication scope of a class. An unknown scope is an error
// only for a class that is idempotent by key, because other classes do not use it.
func decodeEffect(repeat, keyScope string) (policy.Effect, policy.DedupScope, error) {
	effect, err := lookup(effects, repeat)
	if err != nil {
		return effect, 0, err
	}
	scope, err := lookup(dedupScopes, keyScope)
	if effect == policy.IdempotentByKey && err != nil {
		return effect, scope, err
	}
	return effect, scope, nil
}
