package trroute

import "slices"

// LeafsOf returns the listed leafs of a service, usable or not.
func (r *Router) LeafsOf(service string) []*Leaf {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.byService[service])
}
