package daisyfleet

import (
	"maps"
	"net/netip"
	"slices"
)

// serverIndex finds the servers of a service, and those at an address, without a pass
// over all servers: a control leader looks them up for every service many times a second.
type serverIndex struct {
	byService map[string][]string // Names, sorted.
	byAddress map[netip.AddrPort][]string
}

// replace updates the index for a server whose value was before and is after; nil means
// that there is none.
func (x *serverIndex) replace(name string, before, after Value) {
	if s, ok := before.(Server); ok {
		x.byService[s.Service] = without(x.byService[s.Service], name)
		if len(x.byService[s.Service]) == 0 {
			delete(x.byService, s.Service)
		}
		x.byAddress[s.Address] = without(x.byAddress[s.Address], name)
		if len(x.byAddress[s.Address]) == 0 {
			delete(x.byAddress, s.Address)
		}
	}
	if s, ok := after.(Server); ok {
		if x.byService == nil {
			x.byService, x.byAddress = make(map[string][]string), make(map[netip.AddrPort][]string)
		}
		x.byService[s.Service] = with(x.byService[s.Service], name)
		x.byAddress[s.Address] = with(x.byAddress[s.Address], name)
	}
}

// with returns the sorted names with another one.
func with(names []string, name string) []string {
	at, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, at, name)
}

// without returns the sorted names without one.
func without(names []string, name string) []string {
	if at, found := slices.BinarySearch(names, name); found {
		return slices.Delete(names, at, at+1)
	}
	return names
}

// Services returns the names of the services that have servers, sorted.
func (s *State) Services() []string { return slices.Sorted(maps.Keys(s.servers.byService)) }

// EachServer calls f for every server of the service, sorted by name.
func (s *State) EachServer(service string, f func(name string, v Server)) {
	s.eachNamed(s.servers.byService[service], f)
}

// EachServerAt calls f for every server with the address, sorted by name.
func (s *State) EachServerAt(addr netip.AddrPort, f func(name string, v Server)) {
	s.eachNamed(s.servers.byAddress[addr], f)
}

func (s *State) eachNamed(names []string, f func(name string, v Server)) {
	for _, name := range names {
		if v, ok := s.objects[KindServer][name].Value.(Server); ok {
			f(name, v)
		}
	}
}
