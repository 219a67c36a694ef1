// Package trcost estimates what requests cost upstreams and how long each upstream takes to answer
// one. It opens no sockets and takes the time from its callers.
//
// An Estimator learns the work of requests by route and by their visible properties. A Backlog holds
// what an instance knows of one upstream: its own requests in flight, the load that the upstream
// reported, and how slow it is. A Model learns how far reported figures may be trusted at which age.
// Expected combines them to the time that a request would take at an upstream.
//
// # Usage
//
//	kind := trcost.NewKind(route, service, target, account, len(body))
//	est := estimator.Estimate(&kind)
//	d := trcost.Expected(&backlog, &model, est, now) // for each upstream; the least is the best
//	backlog.Begin(id, est, lateAt, now)
//	work := backlog.End(&model, id, took, report, now)
//	estimator.Record(&kind, work, now)
package trcost

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// routeWindow is the number of requests over which the work of a route is averaged.
	routeWindow = 128
	// cellWindow is the number of requests over which the effect of a property is averaged.
	cellWindow = 64
	// cellPrior is the number of requests at which the effect of a property counts half. The
	// work of requests that look alike varies by a third, and by five times at times, so fewer
	// say little.
	cellPrior = 16
	// sampleHalfLife is the time in which the samples of a route or property lose half of
	// their weight against new ones. An instance gets some requests of a route per minute.
	sampleHalfLife = 5 * time.Minute
	// maxRoutes bounds the memory of an Estimator, to some 2.5 MB.
	maxRoutes = 256
	// cellCount is the number of cells for each property of a route. Values of a property
	// that share a cell share its estimate.
	cellCount = 64
	// properties is the number of visible properties of a request in a Kind.
	properties = 3
	// maxResidual bounds the logarithm of one sample against its estimate. A pause of an
	// upstream makes a reply ten times later and says nothing of the work.
	maxResidual = 1.5
	// minWork keeps logarithms finite.
	minWork = 10 * time.Microsecond
)

// Kind identifies requests that are expected to cost the same: those of one route with the
// same visible properties.
type Kind struct {
	Route   string
	Service string // of the route, the first one if it has several
	cells   [properties]uint8
}

// NewKind returns the kind of a request. target is its path and query, account the client
// account, empty if it has none, and body the length of its body in bytes.
func NewKind(route, service, target, account string, body int) Kind {
	return Kind{Route: route, Service: service, cells: [properties]uint8{
		uint8(xxhash.Sum64String(target) % cellCount),
		uint8(xxhash.Sum64String(account) % cellCount),
		uint8(bits.Len(uint(max(body, 0))) % cellCount),
	}}
}

// Estimate is the expected work of a request. Work is the time that it takes on an upstream at
// its usual speed, without queueing.
type Estimate struct {
	Work    time.Duration // 0 if nothing is known
	Factor  float64       // ratio to the usual work of the route, 1 if nothing is known
	Spread  float64       // standard deviation of the logarithm of work
	Samples float64       // that the estimate rests on, discounted by their age
}

// mean is a moving average of logarithms of work.
type mean struct {
	value, variance float64
	samples         float64
	at              time.Time
}

// add adds a sample with a weight of at least 1/window.
func (m *mean) add(x, window float64, now time.Time) {
	if age := now.Sub(m.at); age > time.Second && m.samples > 0 {
		m.samples *= math.Exp2(-float64(age) / float64(sampleHalfLife))
		m.at = now
	} else if m.samples == 0 {
		m.at = now
	}
	m.samples = min(m.samples+1, window)
	weight := 1 / m.samples
	d := x - m.value
	m.value += weight * d
	m.variance = (1 - weight) * (m.variance + weight*d*d)
}

// routeCost is the estimate for one route: the mean of the logarithm of work, and by how much
// requests with a property differ from it.
type routeCost struct {
	mean   mean
	rest   mean // of what the properties do not explain; its variance is the spread squared
	cells  [properties][cellCount]mean
	usedAt time.Time
}

// residual returns the expected difference of a request with the given cells from the mean of
// the route.
func (r *routeCost) residual(cells [properties]uint8) float64 {
	sum := 0.0
	for i, c := range cells {
		m := &r.cells[i][c]
		sum += m.value * m.samples / (m.samples + cellPrior)
	}
	return sum
}

// Estimator learns what requests cost upstreams, by route and by the visible properties of a
// request. The effects of the properties add up in the logarithm. The load is a few routes whose
// requests look alike but differ in work by a third, a few of them by five times. The zero value
// is ready to use and safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	routes   map[string]*routeCost
	services map[string]*mean
}

// Estimate returns the expected work of a request. For a new route that is the work of other
// requests to its service, with no samples.
func (e *Estimator) Estimate(k *Kind) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.routes[k.Route]
	if r == nil {
		if s := e.services[k.Service]; s != nil {
			return Estimate{Work: time.Duration(math.Exp(s.value)), Factor: 1, Spread: math.Sqrt(s.variance)}
		}
		return Estimate{Factor: 1}
	}
	factor := math.Exp(r.residual(k.cells))
	return Estimate{
		Work:    time.Duration(factor * math.Exp(r.mean.value)),
		Factor:  factor,
		Spread:  math.Sqrt(r.rest.variance),
		Samples: r.mean.samples,
	}
}

// Record adds the work of a request, measured at an upstream. For a request that is sent to many
// shards it is the mean over them: what the request costs is common to all.
func (e *Estimator) Record(k *Kind, work time.Duration, now time.Time) {
	x := math.Log(float64(max(work, minWork)))
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.route(k, x, now)
	r.usedAt = now
	if r.mean.samples > 0 {
		x = min(max(x, r.mean.value-maxResidual), r.mean.value+maxResidual)
	}
	r.mean.add(x, routeWindow, now)
	rest := x - r.mean.value - r.residual(k.cells)
	r.rest.add(rest, routeWindow, now)
	for i, c := range k.cells {
		m := &r.cells[i][c]
		m.add(m.value+rest, cellWindow, now)
	}
}

// route returns the entry of a route. If there are too many, it drops the one that has not been
// used for longest.
func (e *Estimator) route(k *Kind, x float64, now time.Time) *routeCost {
	if e.routes == nil {
		e.routes, e.services = make(map[string]*routeCost), make(map[string]*mean)
	}
	r := e.routes[k.Route]
	if r == nil {
		if len(e.routes) >= maxRoutes {
			oldest := ""
			for name, o := range e.routes {
				if oldest == "" || o.usedAt.Before(e.routes[oldest].usedAt) {
					oldest = name
				}
			}
			delete(e.routes, oldest)
		}
		r = new(routeCost)
		e.routes[k.Route] = r
	}
	s := e.services[k.Service]
	if s == nil {
		if len(e.services) >= maxRoutes {
			clear(e.services) // they are priors only
		}
		s = new(mean)
		e.services[k.Service] = s
	}
	s.add(x, routeWindow, now)
	return r
}
