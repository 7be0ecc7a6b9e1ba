package main

import "wheatsaddle/internal/metrics"

// gauges shows numbers of one kind of counts where the site's metrics are served. Each asking reads the counts anew.
func gauges[Counts any, Number int | int64](m *metrics.Registry, read func() Counts, fields map[string]func(Counts) Number) {
	for name, field := range fields {
		m.Gauge(func() float64 { return float64(field(read())) }, name)
	}
}
