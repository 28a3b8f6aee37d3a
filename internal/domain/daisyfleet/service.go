package daisyfleet

import (
	"errors"
	"net/netip"
	"time"
)

// DocumentName is the name of the only object of kind Document.
const DocumentName = "Desired"

// Document is the desired state as one versioned document. The control state
// stores its bytes without interpreting them.
type Document struct {
	Version uint64
	Content string // The received bytes, compressed with DEFLATE.
}

// Kind implements Value.
func (Document) Kind() Kind { return KindDocument }

// Check implements Value.
func (d Document) Check() error {
	if d.Content == "" {
		return errors.New("Content is empty")
	}
	return nil
}

// Server is a backend server that announced itself. The object's name is the
// identifier of the server's incarnation.
type Server struct {
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Started       time.Time // When its process started, to the millisecond.
	Leaving       bool      // The server asked to get no new work.
	Slots         int       // Number of statements that it runs concurrently; 0 if unknown.
	Cold          bool      // Its caches are empty, so that it gets requests at a limited rate.
}

// Kind implements Value.
func (Server) Kind() Kind { return KindServer }

// Check implements Value.
func (s Server) Check() error {
	switch {
	case s.Service == "":
		return errors.New("Service is empty")
	case !s.Address.IsValid():
		return errors.New("Address is not an IP and port")
	}
	return nil
}

// Leadership states which backend server leads a service, that is, serves its
// writes as the primary. The object's name is the service. At the start of an
// epoch there is no server: hosts that hold this state send the service no
// writes, so another server may be promoted once every lease on an older state is
// recalled or has expired.
type Leadership struct {
	Epoch    uint64 // Increases with each succession; Round on the wire.
	Server   string // The server that serves writes; empty during a succession.
	Term     uint64 // The term of the server's log when its promotion was confirmed; during a succession, that of Previous.
	Previous string // The server that led in the previous epoch.
}

// Kind implements Value.
func (Leadership) Kind() Kind { return KindLeadership }

// Check implements Value.
func (l Leadership) Check() error {
	if l.Epoch == 0 {
		return errors.New("Round is 0")
	}
	return nil
}

// Promotion states which server is promoted in an epoch. The object's name is the
// service. It is in the log before the platform is told, so that no later leader promotes
// another server while this promotion may still take effect. It concerns control hosts
// only; no Delta holds it.
type Promotion struct {
	Epoch  uint64 // Of the leadership that the promotion is to fill; Round on the wire.
	Server string
}

// Kind implements Value.
func (Promotion) Kind() Kind { return KindPromotion }

// Check implements Value.
func (p Promotion) Check() error {
	switch {
	case p.Epoch == 0:
		return errors.New("Round is 0")
	case p.Server == "":
		return errors.New("Server is empty")
	}
	return nil
}

// Server returns the named backend server.
func (v *View) Server(name string) (Server, bool) {
	s, ok := v.value(KindServer, name).(Server)
	return s, ok
}

// Leadership returns the leadership of the service.
func (v *View) Leadership(service string) (Leadership, bool) {
	l, ok := v.value(KindLeadership, service).(Leadership)
	return l, ok
}

// Document returns the desired state, or false if none has been accepted yet.
func (v *View) Document() (Document, bool) {
	d, ok := v.value(KindDocument, DocumentName).(Document)
	return d, ok
}
