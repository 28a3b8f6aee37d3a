// Package daisynode holds the settings of a process of a fleet whose desired
// state is one document: an entry host or a control host.
package daisynode

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Settings are the settings of a process. Only the seeds may change while it
// runs.
type Settings struct {
	Host          string
	FailureDomain string
	Regions       map[string]string // The region of each failure domain.

	Clients netip.AddrPort // Where an entry host serves clients.
	Ready   netip.AddrPort // Where an entry host answers health checks.
	Control netip.AddrPort // Where a control host serves servers and operators.
	Link    netip.AddrPort // Where the process serves links.
	Metrics netip.AddrPort // Where the process serves its metrics.

	Seeds           []netip.AddrPort // Link addresses of some control hosts.
	Bootstrap       bool             // The fleet starts for the first time.
	DataFolder      string
	ToleratedLosses int // How many control hosts may be lost at once with their disks.

	LinkSpeed        float64        // Of the host's network link, in bits a second; 0 if not known.
	MemoryBytes      int64          // The most memory that the process may use; 0 if not limited.
	GracePeriod      time.Duration  // Time for a graceful stop.
	PromotionService netip.AddrPort // The service that carries out promotions.

	// DomainCost and RegionCost are the expected times that a read must gain to leave the
	// host's failure domain or region; 0 stands for the defaults of daisybalance.
	DomainCost time.Duration
	RegionCost time.Duration
}

// Region returns the region of the host.
func (s *Settings) Region() string { return s.Regions[s.FailureDomain] }

// Voters returns the number of voting control hosts: the smallest of which a
// majority survives the tolerated losses.
func (s *Settings) Voters() int { return 2*s.ToleratedLosses + 1 }

// CheckEntry returns an error if an entry host cannot run with the settings.
func (s *Settings) CheckEntry() error {
	return errors.Join(s.check(), checkAddress("callers", s.Clients), checkAddress("ready", s.Ready))
}

// CheckControl returns an error if a control host cannot run with the settings.
func (s *Settings) CheckControl() error {
	err := errors.Join(s.check(), checkAddress("control", s.Control), checkAddress("link", s.Link))
	if s.DataFolder == "" {
		err = errors.Join(err, errors.New("a control host needs a data folder"))
	}
	return err
}

func (s *Settings) check() error {
	switch {
	case s.Host == "":
		return errors.New("the host has no name")
	case len(s.Seeds) == 0:
		return errors.New("no seeds are given")
	case s.GracePeriod <= 0:
		return errors.New("the grace period is not positive")
	case s.DomainCost < 0 || s.RegionCost < 0:
		return errors.New("a cost of crossing is negative")
	}
	return nil
}

func checkAddress(what string, a netip.AddrPort) error {
	if a.IsValid() {
		return nil
	}
	return fmt.Errorf("the %s address is not an IP and port", what)
}
