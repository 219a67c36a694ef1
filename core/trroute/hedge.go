package trroute

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minHedgeDelay is the shortest hedge delay. With a shorter one, the jitter of
	// timers and connections would cause hedges without benefit.
	minHedgeDelay = 2 * time.Millisecond
	// defaultHedgeDelay is the hedge delay until there are minLatencySamples latencies.
	defaultHedgeDelay = 50 * time.Millisecond
	// minLatencySamples is the smallest number of latencies that a quantile is computed
	// from.
	minLatencySamples = 20
	// histogramPeriod is the shortest time after which a new histogram is started.
	histogramPeriod = 5 * time.Second
	// histogramDigits is the number of significant digits of a histogram. Two digits
	// take about 20 KB and have an error of 1%.
	histogramDigits = 2
)

// latencyTracker keeps rolling latency histograms per service. The zero value is
// ready to use.
type latencyTracker struct {
	services sync.Map // service name -> *latencyWindow
}

// latencyWindow holds the histograms of the current and the previous period.
type latencyWindow struct {
	mu        sync.Mutex
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	startedAt time.Time
	quantiles map[float64]time.Duration // cached quantiles of previous
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), histogramDigits)
}

func (h *latencyTracker) window(service string, now time.Time) *latencyWindow {
	if w, ok := h.services.Load(service); ok {
		return w.(*latencyWindow)
	}
	w, _ := h.services.LoadOrStore(service, &latencyWindow{
		current:   newHistogram(),
		previous:  newHistogram(),
		startedAt: now,
		quantiles: make(map[float64]time.Duration),
	})
	return w.(*latencyWindow)
}

func (h *latencyTracker) record(service string, now time.Time, latency time.Duration) {
	w := h.window(service, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	us := min(latency, time.Minute).Microseconds()
	// RecordValue fails only for values outside the range of the histogram.
	_ = w.current.RecordValue(max(1, us))
}

func (h *latencyTracker) quantile(service string, now time.Time, q float64) time.Duration {
	w := h.window(service, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(now)
	if d, ok := w.quantiles[q]; ok {
		return d
	}
	if w.previous.TotalCount() >= minLatencySamples {
		d := quantileOf(w.previous, q)
		w.quantiles[q] = d
		return d
	}
	if w.current.TotalCount() >= minLatencySamples {
		return quantileOf(w.current, q)
	}
	return defaultHedgeDelay
}

// rotate starts a new period if the current one is over and has enough samples. A
// service with little traffic keeps its old latencies.
func (w *latencyWindow) rotate(now time.Time) {
	if now.Sub(w.startedAt) < histogramPeriod || w.current.TotalCount() < minLatencySamples {
		return
	}
	w.current, w.previous = w.previous, w.current
	w.current.Reset()
	w.startedAt = now
	clear(w.quantiles)
}

// quantileOf returns the quantile q of h, at least minHedgeDelay.
func quantileOf(h *hdrhistogram.Histogram, q float64) time.Duration {
	us := h.ValueAtQuantile(q * 100)
	return max(minHedgeDelay, time.Duration(us)*time.Microsecond)
}
