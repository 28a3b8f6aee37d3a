package daisygateway

// SetSharedSlots sets how many statements a server runs at once, 0 if unknown, for a
// server whose requests are spread over several gateways near it. Each gateway sends as
// many as the server has slots: one that is busy alone uses the whole server, and three
// that are busy keep at most two run times of statements in the server's own queue.
// There, other gateways' statements also cover the time that answers are in transit.
func (g *Gateway) SetSharedSlots(server string, slots int) {
	g.setLimit(server, slots, 0, true)
}
