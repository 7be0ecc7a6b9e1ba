package main

import (
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/metrics"
	"wheatsaddle/internal/transport"
)

// registerFrontMetrics registers the metrics of the HTTP front: the clients' connections by state, the requests that
// stopped arriving, the memory of long request bodies, and the connections on which storage nodes sent unrequested bytes.
func registerFrontMetrics(m *metrics.Registry, front *httpfront.Server, dialer *httpfront.Dialer) {
	for state, count := range map[string]func(transport.ConnCounts) int{
		"fresh":     func(c transport.ConnCounts) int { return c.Fresh },
		"reading":   func(c transport.ConnCounts) int { return c.Reading },
		"handling":  func(c transport.ConnCounts) int { return c.Handling },
		"idle":      func(c transport.ConnCounts) int { return c.Idle },
		"lingering": func(c transport.ConnCounts) int { return c.Lingering },
	} {
		m.Gauge(func() float64 { return float64(count(front.ConnCounts())) }, "client_connections", "state", state)
	}
	m.Gauge(func() float64 { return front.ConnCounts().LongestRead.Seconds() }, "client_longest_read_seconds")
	m.Gauge(func() float64 { return float64(front.ConnCounts().Interrupted) }, "client_requests_interrupted")
	m.Gauge(func() float64 { return float64(front.TimedOutRequests()) }, "client_requests_timed_out")
	gauges(m, front.Core.TableSizes, map[string]func(core.TableSizes) int{
		"core_requests":        func(t core.TableSizes) int { return t.Requests },
		"core_module_requests": func(t core.TableSizes) int { return t.Module },
		"core_guard_timers":    func(t core.TableSizes) int { return t.Guards },
	})
	m.Gauge(func() float64 { return float64(dialer.UnrequestedBytes()) }, "node_connections_unrequested_bytes")
	m.Gauge(func() float64 { return float64(front.Memory.InUse(memory.RequestBody)) }, "request_body_memory_bytes")
	m.Gauge(func() float64 { return float64(front.Memory.Limit(memory.RequestBody)) }, "request_body_memory_limit_bytes")
}

// registerMemoryMetrics registers what the account has granted and denied, by kind.
func registerMemoryMetrics(m *metrics.Registry, account *memory.Account) {
	for kind := range memory.KindCount {
		m.Gauge(func() float64 { return float64(account.InUse(kind)) }, "memory_bytes", "kind", kind.String())
		m.Gauge(func() float64 { return float64(account.Denied(kind)) }, "memory_denied", "kind", kind.String())
	}
	m.Gauge(func() float64 { return float64(account.Size()) }, "memory_account_bytes")
}
