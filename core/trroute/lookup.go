package trroute

import "slices"

// LeafsOf returns the listed leafs of a service, including those that are not usable.
func (r *Router) LeafsOf(service string) []*Leaf {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.byService[service])
}
