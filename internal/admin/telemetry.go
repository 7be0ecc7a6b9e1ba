package admin

import (
	"encoding/json"

	"wheatsaddle/internal/core"
)

// telemetry is the body of GET /api/telemetry. Its keys are those of the operators' documentation.
type telemetry struct {
	Served       map[string]int64 `json:"passed"`
	Rejected     map[string]int64 `json:"dropped"`
	Failed       map[string]int64 `json:"bad_gateway"`
	Attempts     int64            `json:"upstream_tries"`
	InProgress   int64            `json:"in_progress"`
	Nodes        int64            `json:"known_storage_nodes"`
	AvoidedNodes int64            `json:"skipped_storage_nodes"`
	Reloads      int64            `json:"loads"`
	ReloadErrors int64            `json:"load_errors"`
}

// EncodeTelemetry encodes the counters as the body of GET /api/telemetry.
func EncodeTelemetry(s core.CounterSnapshot) []byte {
	// Maps of strings to integers always encode.
	text, _ := json.Marshal(telemetry{s.Served, s.Rejected, s.Failed, sum(s.Attempts), s.InProgress, s.Nodes, s.AvoidedNodes, s.Reloads, s.ReloadErrors})
	return text
}

func sum(m map[string]int64) (n int64) {
	for _, v := range m {
		n += v
	}
	return n
}
