package daisyentryhost

import (
	"time"

	"github.com/apex/log"
)

// contact is the host's contact with the control hosts as sessions see it. It implements
// daisysession.Control.
type contact struct {
	host *EntryHost
}

// Valid implements daisysession.Control. After an isolation the lease is valid a moment
// before the desired state that came with it is in force on a slow host.
func (c contact) Valid() bool {
	d, ok := c.host.view.Document()
	index := c.host.index.Load()
	return c.host.lease.Valid() && ok && index != nil && index.Version == d.Version
}

// Lost implements daisysession.Control.
func (c contact) Lost() bool { return c.host.lease.Lost() }

// logControl writes a log line when the host loses or regains control.
func (h *EntryHost) logControl(logged *loggedState) {
	since, lost := h.lease.Disconnected()
	if lost == logged.controlLost {
		return
	}
	logged.controlLost = lost
	if lost {
		h.options.Log.WithFields(log.Fields{"Since": since.Format(time.RFC3339Nano), "Valid": h.lease.Valid()}).Warn("front: lost control; not ready")
		return
	}
	h.options.Log.Info("front: regained control")
}
