package main

import "wheatsaddle/internal/metrics"

// gauges registers a gauge for each field, by metric name. Each scrape reads all counts again for each gauge.
func gauges[Counts any, Number int | int64](m *metrics.Registry, read func() Counts, fields map[string]func(Counts) Number) {
	for name, field := range fields {
		m.Gauge(func() float64 { return float64(field(read())) }, name)
	}
}
