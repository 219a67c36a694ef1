package trroute

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeFloor is the shortest hedge delay. Below it the jitter of timers and
	// connections would send hedges that gain nothing.
	hedgeFloor = 2 * time.Millisecond
	// hedgeDefault applies until enough latencies are known.
	hedgeDefault = 50 * time.Millisecond
	// hedgeSamples is the number of latencies from which a quantile is taken.
	hedgeSamples = 20
	// hedgeWindow is the age at which latencies are replaced by newer ones.
	hedgeWindow = 5 * time.Second
	// hedgeDigits keeps a histogram at about 20 KB with 1% error.
	hedgeDigits = 2
)

// latencies holds rolling latency histograms per service. The zero value is ready
// to use.
type latencies struct {
	services sync.Map // name -> *window
}

// window is the histogram of the running and of the last period.
type window struct {
	mu      sync.Mutex
	present *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
	started time.Time
	known   map[float64]time.Duration // quantiles of last
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), hedgeDigits)
}

func (h *latencies) window(service string, now time.Time) *window {
	if w, ok := h.services.Load(service); ok {
		return w.(*window)
	}
	w, _ := h.services.LoadOrStore(service, &window{
		present: newHistogram(),
		last:    newHistogram(),
		started: now,
		known:   make(map[float64]time.Duration),
	})
	return w.(*window)
}

func (h *latencies) record(service string, now time.Time, latency time.Duration) {
	w := h.window(service, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roll(now)
	us := min(latency, time.Minute).Microseconds()
	// The value is within the trackable range, so recording cannot fail.
	_ = w.present.RecordValue(max(1, us))
}

func (h *latencies) quantile(service string, now time.Time, q float64) time.Duration {
	w := h.window(service, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roll(now)
	if d, ok := w.known[q]; ok {
		return d
	}
	if w.last.TotalCount() >= hedgeSamples {
		d := quantileOf(w.last, q)
		w.known[q] = d
		return d
	}
	if w.present.TotalCount() >= hedgeSamples {
		return quantileOf(w.present, q)
	}
	return hedgeDefault
}

// roll starts a new period if the running one is over and has enough samples. A
// service with little traffic keeps its old latencies.
func (w *window) roll(now time.Time) {
	if now.Sub(w.started) < hedgeWindow || w.present.TotalCount() < hedgeSamples {
		return
	}
	w.present, w.last = w.last, w.present
	w.present.Reset()
	w.started = now
	clear(w.known)
}

func quantileOf(h *hdrhistogram.Histogram, q float64) time.Duration {
	us := h.ValueAtQuantile(q * 100)
	return max(hedgeFloor, time.Duration(us)*time.Microsecond)
}
