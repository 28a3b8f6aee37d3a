package daisyentryhost

import (
	"time"

	"github.com/apex/log"
)

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
