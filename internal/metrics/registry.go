// Package metrics is a registry of counters, gauges and histograms, served at GET /metrics in the Prometheus text format. It
// is enabled if the site's file has a section metrics. Otherwise the registry is nil: counters can be used at the same cost,
// gauges and histograms are not registered, and there is neither a goroutine nor a socket.
//
// Invariants:
//   - A nil Registry can be used in every way.
//   - A name with its labels identifies one series, however often it is requested.
//   - There are at most maxSeries series. Further ones are counted in wheatsaddle_meter_left_out and not served.
//   - Close leaves no goroutine behind.
//
// The telemetry of the admin endpoint is not part of the registry: its counters belong to core.
package metrics

import (
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/operr"
)

const (
	prefix                = "wheatsaddle_"
	maxSeries             = 4096
	maxConcurrentRequests = 8
	requestTimeout        = time.Second
	maxHeaderBytes        = 4 << 10
)

// Counter is a counter that only increases. Any goroutine may call its methods.
type Counter = metrics.Counter

// Histogram is a histogram with buckets in the format of VictoriaMetrics (vmrange). Any goroutine may call its methods.
type Histogram = metrics.Histogram

// Registry is a registry of metrics that is served over HTTP. Any goroutine may call its methods.
type Registry struct {
	set            *metrics.Set
	server         *http.Server
	done           chan struct{}
	activeRequests atomic.Int64

	mu            sync.Mutex // guards names
	names         map[string]bool
	droppedSeries atomic.Int64
}

// Serve answers GET /metrics on a listener until Close. Without a listener it returns a nil Registry.
func Serve(ln net.Listener, log logrus.FieldLogger) *Registry {
	if ln == nil {
		return nil
	}
	m := &Registry{set: metrics.NewSet(), done: make(chan struct{}), names: map[string]bool{}}
	m.set.NewGauge(prefix+"meter_left_out", func() float64 { return float64(m.droppedSeries.Load()) })
	m.server = &http.Server{Handler: m, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0)}
	m.server.SetKeepAlivesEnabled(false)
	go func() {
		defer close(m.done)
		if err := m.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			log.WithFields(operr.Fields(&ServeError{ln.Addr().String(), err})).Error("metrics server failed")
		}
	}()
	return m
}

// ServeHTTP implements http.Handler.
func (m *Registry) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path != "/metrics" || q.Method != http.MethodGet:
		http.Error(w, "GET /metrics is the only call", http.StatusNotFound)
	case m.activeRequests.Add(1) > maxConcurrentRequests:
		m.activeRequests.Add(-1)
		http.Error(w, "others ask", http.StatusServiceUnavailable)
	default:
		defer m.activeRequests.Add(-1)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		m.set.WritePrometheus(w)
	}
}

// Close stops the server and waits until it has ended. Counters can still be used.
func (m *Registry) Close() {
	if m != nil {
		_ = m.server.Close()
		<-m.done
	}
}

// Counter returns the counter with a name and labels. The name lacks the program's prefix, and the labels are alternating
// keys and values.
func (m *Registry) Counter(name string, labels ...string) *Counter {
	if series := m.seriesName(name, labels); series != "" {
		return m.set.GetOrCreateCounter(series)
	}
	return &Counter{}
}

// Histogram returns the histogram with a name and labels. That of a nil Registry is not served.
func (m *Registry) Histogram(name string, labels ...string) *Histogram {
	if series := m.seriesName(name, labels); series != "" {
		return m.set.GetOrCreateHistogram(series)
	}
	return &Histogram{}
}

// Gauge registers a gauge whose value is computed by f at each request. The server's goroutines call f.
func (m *Registry) Gauge(f func() float64, name string, labels ...string) {
	if series := m.seriesName(name, labels); series != "" {
		m.set.GetOrCreateGauge(series, f)
	}
}

// labelEscaper escapes the value of a label.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// seriesName returns a name with its labels; "": the series is not served.
func (m *Registry) seriesName(name string, labels []string) string {
	if m == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString(prefix + name)
	separator := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		fmt.Fprintf(&b, `%s%s="%s"`, separator, labels[i], labelEscaper.Replace(labels[i+1]))
		separator = ","
	}
	if len(labels) > 1 {
		b.WriteByte('}')
	}
	series := b.String()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.names[series] {
		if len(m.names) >= maxSeries {
			m.droppedSeries.Add(1)
			return ""
		}
		m.names[series] = true
	}
	return series
}

// ServeError reports that the metrics are no longer served.
type ServeError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ServeError) Error() string { return "metrics at " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *ServeError) Code() string { return "meter-ended" }

// Advice implements operr.Coded.
func (e *ServeError) Advice() string {
	return "Clients are still served. Restart the program when convenient; the telemetry of the admin endpoint has the main counters."
}

func init() { operr.Register(&ServeError{"127.0.0.1:9464", net.ErrClosed}) }
