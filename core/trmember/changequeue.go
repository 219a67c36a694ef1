package trmember

import "math/bits"

// changeQueue holds the members whose entries have changed and must still be sent to
// others.
//
// The load is a restart of many members of a large group in several zones. Traffic
// between zones is slow and billed, so a change is sent within the zone as often as it
// takes to reach every member there, and the members of the zone share the messages that
// take it to the other zones.
type changeQueue struct {
	inZone, crossZone updateQueue
}

func (q *changeQueue) add(id string) {
	q.inZone.add(id)
	q.crossZone.add(id)
}

func (q *changeQueue) drop(id string) {
	q.inZone.drop(id)
	q.crossZone.drop(id)
}

// queueFor returns the queue of changes for a receiver, and how many times this process
// sends each of them. A receiver that is known by its address only counts as one of
// another zone. The caller holds g.mu.
func (g *Group) queueFor(receiver *Member) (queue *updateQueue, sends int) {
	neighbours, zones := g.countZones()
	if receiver.Zone == g.self.Zone {
		return &g.queue.inZone, retransmitLimit(neighbours)
	}
	return &g.queue.crossZone, crossZoneLimit(len(g.members), neighbours+1, zones)
}

// countZones returns the number of other present members of this process's zone, and the
// number of zones with present members. The caller holds g.mu.
func (g *Group) countZones() (neighbours, zones int) {
	names := map[string]bool{g.self.Zone: true}
	for _, e := range g.members {
		if !e.Present() {
			continue
		}
		names[e.Zone] = true
		if e.Zone == g.self.Zone {
			neighbours++
		}
	}
	return neighbours, len(names)
}

// retransmitLimit returns how many times a process sends a change so that it reaches a
// number of other members.
func retransmitLimit(others int) int { return retransmitFactor * max(1, bits.Len(uint(others))) }

// crossZoneLimit returns how many times a process sends a change to members of other
// zones. The members of its zone together send it to each of them as often as a single
// process would if there were no zones.
func crossZoneLimit(others, zoneSize, zones int) int {
	all := retransmitLimit(others)
	return min(all, (all*(zones-1)+zoneSize-1)/zoneSize)
}
