package daisypool

// Waiting returns how many requests wait for a connection to the server.
func (p *Pool) Waiting(server string) int {
	s := p.server(server)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiters)
}
