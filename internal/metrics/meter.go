// Package metrics is the registry of the counts that the parts on many processes keep, in the text form
// of Prometheus. It is on where the site's file has a section metrics, and is nil else: counters then
// count for nobody and cost the same, gauges and histograms are not kept, and there is neither a
// goroutine nor a socket.
//
// Invariants, as the test words them: a nil Meter may be used in every way; one name and its labels are
// one series, however often it is asked for; there are maxSeries series at most, and what comes after
// is counted in wheatsaddle_meter_left_out and not shown; Close leaves no goroutine behind.
//
// It does not hold the operators' telemetry: those counts are core's, and are served by the door.
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
	maxConcurrentRequests = 8 // at once
	requestTimeout        = time.Second
	maxHeaderBytes        = 4 << 10 // bytes
)

// Counter only rises; its methods may be called by all goroutines.
type Counter = metrics.Counter

// Histogram has buckets in the form of VictoriaMetrics (vmrange).
type Histogram = metrics.Histogram

// Registry is a registry that is served.
type Registry struct {
	set            *metrics.Set
	server         *http.Server
	done           chan struct{}
	activeRequests atomic.Int64 // calls under way

	mu            sync.Mutex
	names         map[string]bool
	droppedSeries atomic.Int64
}

// Serve answers GET /metrics on a listener until Close. No listener: no meter.
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
			log.WithFields(operr.Fields(&ServeError{ln.Addr().String(), err})).Error("counts are no longer served")
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

// Close ends the serving; counters still count.
func (m *Registry) Close() {
	if m != nil {
		_ = m.server.Close()
		<-m.done
	}
}

// Counter is the one of a name (without the program's prefix) and labels, given as key and value in turn.
func (m *Registry) Counter(name string, labels ...string) *Counter {
	if series := m.seriesName(name, labels); series != "" {
		return m.set.GetOrCreateCounter(series)
	}
	return &Counter{}
}

// Histogram is the one of a name and labels; nil-safe to ask for, and of no use where the meter is off.
func (m *Registry) Histogram(name string, labels ...string) *Histogram {
	if series := m.seriesName(name, labels); series != "" {
		return m.set.GetOrCreateHistogram(series)
	}
	return &Histogram{}
}

// Gauge shows what f says at each asking; f is called by the server's goroutines.
func (m *Registry) Gauge(f func() float64, name string, labels ...string) {
	if series := m.seriesName(name, labels); series != "" {
		m.set.GetOrCreateGauge(series, f)
	}
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// seriesName is a name with its labels; "": it is not kept.
func (m *Registry) seriesName(name string, labels []string) string {
	if m == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString(prefix + name)
	for i := 0; i+1 < len(labels); i += 2 {
		fmt.Fprintf(&b, `%s%s="%s"`, map[bool]string{true: "{", false: ","}[i == 0], labels[i], labelEscaper.Replace(labels[i+1]))
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

// ServeError says that the counts are no longer served.
type ServeError struct {
	Address string
	Err     error
}

func (e *ServeError) Error() string { return "metrics at " + e.Address + ": " + e.Err.Error() }

// Unwrap gives the system's word.
func (e *ServeError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *ServeError) Code() string { return "meter-ended" }

// Advice implements operr.Coded.
func (e *ServeError) Advice() string {
	return "Clients are served all the same. Restart the program when that is convenient; the door's telemetry has the main counts."
}

func init() { operr.Register(&ServeError{"127.0.0.1:9464", net.ErrClosed}) }
