// Package daisysettings reads the settings file of a host: JSON with comments,
// Pascal case keys, durations as text with their unit. Every rule is checked
// when the file is read, and each fault is reported with its line and field.
package daisysettings

import (
	"errors"
	"net/netip"
	"time"

	"github.com/daisyglade/daisyglade/internal/config/daisyschema"
)

// Defaults of optional settings.
const (
	defaultMaxSessions     = 5000
	defaultMaxRequestBytes = 16 << 20
	defaultStopLimit       = 20 * time.Second
)

// Link configures the links to other hosts.
type Link struct {
	Listen      netip.AddrPort
	Advertise   netip.AddrPort
	Authority   string
	Certificate string
	Key         string
}

// Entry configures the serving of clients.
type Entry struct {
	Listen          netip.AddrPort
	Certificate     string
	Key             string
	RequireTLS      bool
	MaxSessions     int
	MaxRequestBytes int
}

// Operations configures the HTTP interface.
type Operations struct {
	Listen        netip.AddrPort
	Plain         bool
	OperatorToken string
	AnnounceToken string
}

// Control tells which hosts hold a replica of the control log.
type Control struct {
	Enabled bool             // This host holds a replica.
	Hosts   []netip.AddrPort // Link addresses of the control hosts.
}

// Database holds the credentials for a database group.
type Database struct {
	Name     string
	User     string
	Password string
	Database string
}

// Log configures logging.
type Log struct {
	Level  string
	Format string
}

// Settings are the checked settings of one host.
type Settings struct {
	Host          string
	FailureDomain string
	Region        string
	DataFolder    string
	Link          Link
	Entry         Entry
	Operations    Operations
	Control       Control
	Databases     []Database
	Log           Log
	StopLimit     time.Duration
}

// mapper maps the decoded file to Settings and collects faults.
type mapper struct {
	folder string
	faults []fault
}

// fault is a violation of a rule by a field.
type fault struct {
	pointer string // The JSON pointer of the field.
	message string
}

func (m *mapper) fault(pointer, message string) {
	m.faults = append(m.faults, fault{pointer: pointer, message: message})
}

func (m *mapper) requiredText(pointer, value string) string {
	if value == "" {
		m.fault(pointer, "is empty or missing")
	}
	return value
}

func (m *mapper) addr(pointer, value string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		m.fault(pointer, "is not an IP address and port")
	}
	return addr
}

func (m *mapper) duration(pointer, value string, fallback time.Duration) time.Duration {
	if value == "" {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		m.fault(pointer, "is not a positive duration such as 20s")
	}
	return d
}

func (m *mapper) count(pointer string, value int64, fallback int) int {
	switch {
	case value < 0:
		m.fault(pointer, "is negative")
	case value == 0:
		return fallback
	}
	return int(value)
}

func (m *mapper) choice(pointer, value, fallback string, choices ...string) string {
	if value == "" {
		return fallback
	}
	for _, c := range choices {
		if c == value {
			return value
		}
	}
	m.fault(pointer, "is not one of the values allowed")
	return value
}

func (m *mapper) settings(w *daisyschema.Settings) Settings {
	s := Settings{
		Host:          m.requiredText("/Host", w.Host),
		FailureDomain: m.requiredText("/FailureDomain", w.FailureDomain),
		Region:        m.requiredText("/Region", w.Region),
		DataFolder:    m.path(w.DataFolder),
		Link:          m.link(&w.Link),
		Entry:         m.entry(&w.Entry),
		Operations: Operations{
			Listen:        m.addr("/Operations/Listen", w.Operations.Listen),
			Plain:         w.Operations.Plain,
			OperatorToken: m.secret("/Operations/OperatorTokenFile", w.Operations.OperatorTokenFile),
			AnnounceToken: m.secret("/Operations/AnnounceTokenFile", w.Operations.AnnounceTokenFile),
		},
		Control:   m.control(w),
		Databases: m.databases(w.Databases),
		StopLimit: m.duration("/StopLimit", w.StopLimit, defaultStopLimit),
	}
	s.Log = Log{Level: "info", Format: "auto"}
	if w.Log != nil {
		s.Log.Level = m.choice("/Log/Level", w.Log.Level, "info", "debug", "info", "warn", "error")
		s.Log.Format = m.choice("/Log/Format", w.Log.Format, "auto", "auto", "text", "json")
	}
	return s
}

func (m *mapper) link(w *daisyschema.Link) Link {
	l := Link{
		Listen:      m.addr("/Link/Listen", w.Listen),
		Authority:   m.file("/Link/Authority", w.Authority),
		Certificate: m.file("/Link/Certificate", w.Certificate),
		Key:         m.file("/Link/Key", w.Key),
	}
	l.Advertise = l.Listen
	if w.Advertise != "" {
		l.Advertise = m.addr("/Link/Advertise", w.Advertise)
	}
	if l.Advertise.IsValid() && l.Advertise.Addr().IsUnspecified() {
		m.fault("/Link/Advertise", "is not an address that others can dial")
	}
	return l
}

func (m *mapper) entry(w *daisyschema.Entry) Entry {
	e := Entry{
		Listen:          m.addr("/Entry/Listen", w.Listen),
		RequireTLS:      w.RequireTLS,
		MaxSessions:     m.count("/Entry/MaxSessions", w.MaxSessions, defaultMaxSessions),
		MaxRequestBytes: m.count("/Entry/MaxRequestBytes", w.MaxRequestBytes, defaultMaxRequestBytes),
	}
	if w.Certificate != "" {
		e.Certificate = m.file("/Entry/Certificate", w.Certificate)
		e.Key = m.file("/Entry/Key", w.Key)
	}
	if w.RequireTLS && w.Certificate == "" {
		m.fault("/Entry/RequireTLS", "needs Certificate and Key")
	}
	return e
}

func (m *mapper) control(w *daisyschema.Settings) Control {
	c := Control{Enabled: w.Control.Enabled}
	for i, text := range w.Control.Hosts {
		c.Hosts = append(c.Hosts, m.addr(pointerTo("/Control/Hosts", i), text))
	}
	if len(c.Hosts) == 0 {
		m.fault("/Control/Hosts", "is empty or missing")
	}
	if c.Enabled && w.DataFolder == "" {
		m.fault("/DataFolder", "is empty or missing, and Control.Enabled needs it")
	}
	return c
}

func (m *mapper) databases(ws []daisyschema.Database) []Database {
	var all []Database
	seen := make(map[string]bool)
	for i, w := range ws {
		pointer := pointerTo("/Databases", i)
		d := Database{
			Name:     m.requiredText(pointer+"/Name", w.Name),
			User:     m.requiredText(pointer+"/User", w.User),
			Password: m.secret(pointer+"/PasswordFile", w.PasswordFile),
			Database: w.Database,
		}
		if d.Database == "" {
			d.Database = d.Name
		}
		if seen[d.Name] {
			m.fault(pointer+"/Name", "is given twice")
		}
		seen[d.Name] = true
		all = append(all, d)
	}
	return all
}

var errInvalid = errors.New("settings are not valid")
