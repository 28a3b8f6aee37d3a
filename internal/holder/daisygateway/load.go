package daisygateway

import (
	"github.com/daisyglade/daisyglade/internal/domain/daisyrequest"
)

// Load returns the load of the request's server as a request of its class would meet
// it now: the wait in the queue and that of the requests before it for a connection. It
// is zero if this host is not a gateway of the server.
func (g *Gateway) Load(req daisyrequest.Request) daisyrequest.Load {
	if !g.pool.Usable(req.Server) {
		return daisyrequest.Load{}
	}
	s := g.server(req.Server)
	return daisyrequest.Load{
		Wait: s.expectedWait(s.slotRequest(req, s.order(req))) + s.waitFor(g.pool.Waiting(req.Server)),
		Run:  s.runTime(req),
	}
}
