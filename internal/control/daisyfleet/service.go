package daisyfleet

import (
	"errors"
	"net/netip"
	"time"
)

// DocumentName is the name of the only object of kind Document.
const DocumentName = "Desired"

// Document is the desired state as one versioned document. The fleet stores
// its bytes and does not read them.
type Document struct {
	Version uint64
	Content string // DEFLATE of the bytes as they were sent.
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

// Server is a backend server that announced itself. The object has the name of
// the server's incarnation.
type Server struct {
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Started       time.Time // When its process started, to the millisecond.
	Leaving       bool      // The server asked for no new work.
	Slots         int       // How many statements it runs at once; 0 if unknown.
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

// Leadership says which backend server leads a service. The object has the name
// of the service. Between two rounds there is no server: hosts that hold that
// state send the service no writes, so another server may be promoted once
// every lease on an older state is recalled or has run out.
type Leadership struct {
	Epoch    uint64 // Counts the successions.
	Server   string // The server that serves writes; empty during a succession.
	Term     uint64 // The term of the server's log when it was confirmed.
	Previous string // The server that led in the round before.
}

// Kind implements Value.
func (Leadership) Kind() Kind { return KindLeadership }

// Check implements Value.
func (p Leadership) Check() error {
	if p.Epoch == 0 {
		return errors.New("Round is 0")
	}
	return nil
}

// Server returns the named backend server.
func (v *View) Server(name string) (Server, bool) {
	s, ok := v.value(KindServer, name).(Server)
	return s, ok
}

// Leadership returns who leads the service.
func (v *View) Leadership(service string) (Leadership, bool) {
	p, ok := v.value(KindLeadership, service).(Leadership)
	return p, ok
}

// Document returns the desired state, if one was accepted.
func (v *View) Document() (Document, bool) {
	d, ok := v.value(KindDocument, DocumentName).(Document)
	return d, ok
}
