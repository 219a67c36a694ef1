package trmetric

import (
	"bytes"
	"encoding/json"
	"expvar"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against wrong units, wrong quantiles and records lost by concurrent writes.
func TestHistogramSummary(t *testing.T) {
	var r Registry
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := worker + 1; i <= 1000; i += 4 {
				r.Record("Query", "bertoldi", "rush", time.Duration(i)*time.Millisecond)
			}
		})
	}
	wg.Wait()
	s := r.Snapshot().Histograms["Query"]["bertoldi"]["rush"]
	assert.Equal(t, s.Count, int64(1000))
	for _, test := range []struct{ got, want float64 }{
		{s.Mean, 500_500}, {float64(s.P50), 500_000}, {float64(s.P90), 900_000},
		{float64(s.P99), 990_000}, {float64(s.P999), 999_000}, {float64(s.Max), 1_000_000},
	} {
		assert.Assert(t, test.got > test.want*0.99 && test.got < test.want*1.01, "%v, want %v", test.got, test.want)
	}
	r.Record("Query", "bertoldi", "bounds", -time.Second)
	r.Record("Query", "bertoldi", "bounds", time.Hour)
	assert.Equal(t, r.Snapshot().Histograms["Query"]["bertoldi"]["bounds"].Count, int64(2))
}

// Guards against memory use that grows with the number of names that callers send.
func TestLabelsAreBounded(t *testing.T) {
	var r Registry
	for i := range 1000 {
		r.Record("Query", fmt.Sprint("t", i), "c", time.Millisecond)
		r.Add("Refusals", fmt.Sprint("l", i), 1)
	}
	s := r.Snapshot()
	assert.Equal(t, len(s.Histograms["Query"]), MaxHistograms+1)
	assert.Equal(t, s.Histograms["Query"][Other][Other].Count, int64(1000-MaxHistograms))
	assert.Equal(t, len(s.Counters["Refusals"]), MaxLabels+1)
	assert.Equal(t, s.Counters["Refusals"][Other], int64(1000-MaxLabels))
}

// Guards against registries that share state and against invalid JSON.
func TestEncodeAndPublish(t *testing.T) {
	var a, b Registry
	a.Add("Queries", "", 3)
	a.Gauge("Open", func() int64 { return 7 })
	a.Set("Leaf", expvar.Func(func() any { return 1 }))
	name := fmt.Sprintf("%s-%p", t.Name(), &b)
	b.Publish(name)
	read := func(r *Registry) (v struct {
		Snapshot
		Leaf     int
		Memstats map[string]any
	}) {
		var b bytes.Buffer
		assert.NilError(t, r.Encode(&b))
		assert.NilError(t, json.Unmarshal(b.Bytes(), &v))
		return v
	}
	got := read(&a)
	assert.Equal(t, got.Counters["Queries"][""], int64(3))
	assert.Equal(t, got.Gauges["Open"], int64(7))
	assert.Equal(t, got.Leaf, 1)
	assert.Assert(t, len(got.Memstats) > 0)
	assert.Equal(t, len(read(&b).Counters), 0)
	assert.Equal(t, expvar.Get(name).String(), b.String())
}

func ExampleRegistry() {
	var metrics Registry
	metrics.Add("Refusals", "Overloaded", 2)
	fmt.Println(metrics.String())
	// Output:
	// {"Counters":{"Refusals":{"Overloaded":2}},"Gauges":{},"Histograms":{}}
}
