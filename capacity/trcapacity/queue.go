package trcapacity

import (
	pq "container/heap"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	modelSubQueries = 50_000
	modelSigma      = 0.4 // sigma of the lognormal service time, whose median is 1
	modelLoad       = 1.6 // offered load in slots: 40% of four slots
)

// UrgentP99 simulates a queue in front of the given number of slots and returns the
// p99 latency of urgent sub-queries in units of the median service time. All senders
// share the queue, and the offered load is 1.6 slots. urgent is the share of urgent
// sub-queries, which are served first if byPriority is set. It is a queueing model and
// runs none of the product's code.
func UrgentP99(seed uint64, slots int, urgent float64, byPriority bool) float64 {
	rnd := rand.New(rand.NewPCG(seed, 0))
	rate := modelLoad / math.Exp(modelSigma*modelSigma/2)
	free := make([]float64, slots) // when each slot becomes free
	var queue modelQueue
	var latencies []float64
	urgentArrivals := make(map[float64]bool)
	serve := func(until float64) {
		for queue.Len() > 0 {
			slices.Sort(free)
			if free[0] >= until {
				return
			}
			q := pq.Pop(&queue).(modelQuery)
			start := max(free[0], q.arrived)
			free[0] = start + q.service
			if urgentArrivals[q.arrived] {
				latencies = append(latencies, free[0]-q.arrived)
			}
		}
	}
	now := 0.0
	for range modelSubQueries {
		now += rnd.ExpFloat64() / rate
		serve(now)
		q := modelQuery{arrived: now, service: math.Exp(modelSigma * rnd.NormFloat64())}
		if rnd.Float64() < urgent {
			urgentArrivals[now] = true
		} else if byPriority {
			q.rank = 1
		}
		pq.Push(&queue, q)
	}
	serve(math.Inf(1))
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// modelQuery is a sub-query of the model. Its times are in units of the median service
// time.
type modelQuery struct {
	rank    int // 0 is served first
	arrived float64
	service float64
}

// modelQueue is a heap.Interface ordered by rank, then by arrival.
type modelQueue []modelQuery

func (q modelQueue) Len() int { return len(q) }

func (q modelQueue) Less(i, j int) bool {
	if q[i].rank != q[j].rank {
		return q[i].rank < q[j].rank
	}
	return q[i].arrived < q[j].arrived
}

func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *modelQueue) Push(x any) { *q = append(*q, x.(modelQuery)) }

func (q *modelQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
