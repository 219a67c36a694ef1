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

// stream is the arrivals of one item of a mix.
type stream struct {
	group *Group
	item  Item
	rate  float64 // requests per second
}

// Schedule yields arrivals in the order of their time. It depends on its seed,
// the settings and the load only. Create it with NewSchedule.
type Schedule struct {
	streams []stream
	rate    float64 // of all streams
	rand    *rand.Rand
	at      time.Duration
}

// NewSchedule returns a schedule that keeps the share load of all slots busy.
func NewSchedule(s *Settings, load float64, seed uint64) *Schedule {
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
