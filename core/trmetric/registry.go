// Package trmetric implements a registry for the metrics of one instance.
//
// A Registry holds counters by name and label, gauges that are read from functions,
// and histograms of durations per metric, tenant and class. Registries are not
// global, so several instances can run in one process.
//
// # Usage
//
//	var metrics trmetric.Registry
//	metrics.Add("Refusals", "Overloaded", 1)
//	metrics.Gauge("OpenConnections", func() int64 { return open.Load() })
//	metrics.Record("Query", req.Tenant, req.Class, elapsed)
//	err := metrics.Encode(w)
//
// The JSON form has the members Counters ({Name: {Label: n}}), Gauges
// ({Name: n}), Histograms ({Metric: {Tenant: {Class: Summary}}}) and one for each
// variable added by Set. Durations are in microseconds.
package trmetric

import (
	"encoding/json"
	"expvar"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits that bound the memory use. A histogram takes 22 KB according to its
// ByteSize method.
const (
	// MaxHistograms is the maximum number of (tenant, class) pairs per metric with
	// a histogram of their own. Callers choose these names, so there must be a limit.
	MaxHistograms = 64
	// MaxLabels is the maximum number of labels per counter name.
	MaxLabels = 256
	// Other is the tenant, class or label that stands for all beyond these limits.
	Other = "other"
)

// Range and precision of a histogram.
const (
	minMicros         = 1
	maxMicros         = 120_000_000 // twice the longest timeout of a request
	significantDigits = 2           // a relative error of at most 1%
)

// Summary summarizes the durations recorded in a histogram. All fields but Count are
// in microseconds.
type Summary struct {
	Count int64   `json:"Count"`
	Mean  float64 `json:"Mean"`
	P50   int64   `json:"P50"`
	P90   int64   `json:"P90"`
	P99   int64   `json:"P99"`
	P999  int64   `json:"P999"`
	Max   int64   `json:"Max"`
}

// Snapshot is the state of a registry at a point in time.
type Snapshot struct {
	Counters   map[string]map[string]int64              `json:"Counters"`   // by name and label
	Gauges     map[string]int64                         `json:"Gauges"`     // by name
	Histograms map[string]map[string]map[string]Summary `json:"Histograms"` // by metric, tenant and class
}

// Registry holds the metrics of one instance. The zero value is ready to use. A
// Registry is safe for concurrent use.
type Registry struct {
	mu         sync.RWMutex // guards the maps, not their values
	counters   map[string]map[string]*atomic.Int64
	gauges     map[string]func() int64
	histograms map[string]map[histogramKey]*Histogram
	vars       map[string]expvar.Var
}

type histogramKey struct{ tenant, class string }

// Counter returns the counter of a name and label. Once the name has MaxLabels
// labels, new labels share the counter of label Other. Use label "" for a name
// without labels.
func (r *Registry) Counter(name, label string) *atomic.Int64 {
	r.mu.RLock()
	c := r.counters[name][label]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counters == nil {
		r.counters = make(map[string]map[string]*atomic.Int64)
	}
	return getOrCreate(r.counters, name, label, Other, MaxLabels, func() *atomic.Int64 { return new(atomic.Int64) })
}

// Add adds n to a counter.
func (r *Registry) Add(name, label string, n int64) { r.Counter(name, label).Add(n) }

// Gauge registers a gauge whose value is returned by read. read must not call the
// registry.
func (r *Registry) Gauge(name string, read func() int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gauges == nil {
		r.gauges = make(map[string]func() int64)
	}
	r.gauges[name] = read
}

// Set adds an expvar variable as a member of the JSON form.
func (r *Registry) Set(name string, v expvar.Var) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.vars == nil {
		r.vars = make(map[string]expvar.Var)
	}
	r.vars[name] = v
}

// Histogram returns the histogram of a metric, tenant and class. Once the metric has
// MaxHistograms pairs of tenant and class, new pairs share the histogram of tenant
// Other and class Other.
func (r *Registry) Histogram(metric, tenant, class string) *Histogram {
	key := histogramKey{tenant, class}
	r.mu.RLock()
	h := r.histograms[metric][key]
	r.mu.RUnlock()
	if h != nil {
		return h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.histograms == nil {
		r.histograms = make(map[string]map[histogramKey]*Histogram)
	}
	return getOrCreate(r.histograms, metric, key, histogramKey{Other, Other}, MaxHistograms, newHistogram)
}

// Record adds a duration to a histogram.
func (r *Registry) Record(metric, tenant, class string, d time.Duration) {
	r.Histogram(metric, tenant, class).Record(d)
}

// getOrCreate returns all[name][key]. If there is no such value it creates one, or
// uses the key other instead if the name already has limit keys.
func getOrCreate[K comparable, V any](all map[string]map[K]*V, name string, key, other K, limit int, create func() *V) *V {
	values := all[name]
	if values == nil {
		values = make(map[K]*V)
		all[name] = values
	}
	if v := values[key]; v != nil {
		return v
	}
	if len(values) >= limit {
		key = other
	}
	if values[key] == nil {
		values[key] = create()
	}
	return values[key]
}

// Snapshot returns the current values.
func (r *Registry) Snapshot() Snapshot {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := Snapshot{
		Counters:   make(map[string]map[string]int64, len(r.counters)),
		Gauges:     make(map[string]int64, len(r.gauges)),
		Histograms: make(map[string]map[string]map[string]Summary, len(r.histograms)),
	}
	for name, labels := range r.counters {
		s.Counters[name] = make(map[string]int64, len(labels))
		for label, c := range labels {
			s.Counters[name][label] = c.Load()
		}
	}
	for name, read := range r.gauges {
		s.Gauges[name] = read()
	}
	for metric, pairs := range r.histograms {
		s.Histograms[metric] = summarize(pairs)
	}
	return s
}

func summarize(pairs map[histogramKey]*Histogram) map[string]map[string]Summary {
	tenants := make(map[string]map[string]Summary)
	for key, h := range pairs {
		if tenants[key.tenant] == nil {
			tenants[key.tenant] = make(map[string]Summary)
		}
		tenants[key.tenant][key.class] = h.Summary()
	}
	return tenants
}

// Encode writes the JSON form, with the process variables cmdline and memstats of package
// expvar.
func (r *Registry) Encode(w io.Writer) error {
	all := r.members()
	for _, name := range []string{"cmdline", "memstats"} {
		if v := expvar.Get(name); v != nil {
			all[name] = json.RawMessage(v.String())
		}
	}
	return json.NewEncoder(w).Encode(all)
}

// String returns the JSON form. It makes the registry an expvar.Var.
func (r *Registry) String() string {
	encoded, err := json.Marshal(r.members())
	if err != nil {
		return "null" // a variable added by Set is not valid JSON
	}
	return string(encoded)
}

// Publish makes the registry an expvar variable of the process. It panics if the
// name is in use, as expvar.Publish does.
func (r *Registry) Publish(name string) { expvar.Publish(name, r) }

func (r *Registry) members() map[string]any {
	s := r.Snapshot()
	all := map[string]any{}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for name, v := range r.vars {
		all[name] = json.RawMessage(v.String())
	}
	all["Counters"] = s.Counters
	all["Gauges"] = s.Gauges
	all["Histograms"] = s.Histograms
	return all
}

// Histogram records durations from 1 µs to 120 s; durations outside this range count
// as the nearest bound. It is safe for concurrent use.
type Histogram struct {
	mu  sync.Mutex // guards hdr; held only for one update or one summary
	hdr *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{hdr: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Record adds a duration.
func (h *Histogram) Record(d time.Duration) {
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the range of the histogram, so there is no error.
	_ = h.hdr.RecordValue(micros)
}

// Summary summarizes all durations recorded so far.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: h.hdr.TotalCount(),
		Mean:  h.hdr.Mean(),
		P50:   h.hdr.ValueAtQuantile(50),
		P90:   h.hdr.ValueAtQuantile(90),
		P99:   h.hdr.ValueAtQuantile(99),
		P999:  h.hdr.ValueAtQuantile(99.9),
		Max:   h.hdr.Max(),
	}
}
