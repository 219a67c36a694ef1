package trload

import (
	"math/rand/v2"
	"time"

	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeleaf"
)

// Arrival is one scheduled request.
type Arrival struct {
	At      time.Duration // from the start of the schedule
	Request trwire.Request
	Needed  int // sub-queries that the request needs
}

// stream is the Poisson process of the requests of one MixItem.
type stream struct {
	group *Group
	item  MixItem
	rate  float64 // requests per second
}

// Schedule generates arrivals in order of their time. It depends only on the seed,
// the deployment and the load. Create it with NewSchedule.
type Schedule struct {
	streams []stream
	rate    float64 // of all streams
	rand    *rand.Rand
	at      time.Duration
}

// NewSchedule returns a schedule whose requests on average keep a share of all slots
// busy. The share is load; 1 stands for all slots.
func NewSchedule(s *Deployment, load float64, seed uint64) *Schedule {
	sc := &Schedule{rand: rand.New(rand.NewPCG(seed, 7))}
	for i := range s.Groups {
		g := &s.Groups[i]
		for _, item := range g.Mix {
			rate := load * item.Share * g.capacity() / float64(g.fanOut(item.Kind))
			sc.streams = append(sc.streams, stream{group: g, item: item, rate: rate})
			sc.rate += rate
		}
	}
	return sc
}

// Next returns the next arrival.
func (sc *Schedule) Next() Arrival {
	sc.at += time.Duration(sc.rand.ExpFloat64() / sc.rate * float64(time.Second))
	st := sc.pick()
	service := st.group.service(sc.rand.IntN(st.group.Services))
	req := trwire.Request{Kind: st.item.Kind, Tenant: st.item.Tenant, Class: st.item.Class, Service: service}
	if req.Kind == trwire.Query {
		req.Limit = 10
	} else {
		req.Key = trfakeleaf.Dataset{Service: service}.Key(sc.rand.IntN(recordsPerService))
	}
	return Arrival{At: sc.at, Request: req, Needed: st.group.fanOut(req.Kind)}
}

// pick returns a random stream with a probability proportional to its rate.
func (sc *Schedule) pick() *stream {
	left := sc.rand.Float64() * sc.rate
	for i := range sc.streams {
		left -= sc.streams[i].rate
		if left < 0 {
			return &sc.streams[i]
		}
	}
	return &sc.streams[len(sc.streams)-1]
}
