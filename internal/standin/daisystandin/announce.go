package daisystandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// announceInterval is how often each member announces itself.
const announceInterval = time.Second

// announcement is the body of an announcement.
type announcement struct {
	Database      string
	Member        string
	Address       string
	FailureDomain string
	Leaving       bool
}

// Announcer announces the members of a group to hosts of the fleet.
type Announcer struct {
	Group    *Group
	Database string
	Domains  []string // The failure domains of the members, in order.
	Hosts    []string // Base URLs; each announcement goes to the first that answers.
	Token    string
	Client   *http.Client
}

// Run announces the members that listen until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for i, m := range a.Group.Members() {
			if a.Group.listens(m) {
				a.announce(ctx, announcement{
					Database: a.Database, Member: m.Name, Address: a.Group.Address(m).String(),
					FailureDomain: a.Domains[i%len(a.Domains)], Leaving: m.isLeaving(),
				})
			}
		}
		select {
		case <-time.After(announceInterval):
		case <-ctx.Done():
		}
	}
}

func (a *Announcer) announce(ctx context.Context, body announcement) {
	text, err := json.Marshal(body)
	if err != nil {
		return
	}
	for _, host := range a.Hosts {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, host+"/v1/announcements", bytes.NewReader(text))
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer "+a.Token)
		response, err := a.Client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
}

func (g *Group) listens(m *Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listeners[m] != nil
}

// Leave makes the member announce that it wants no new work.
func (m *Member) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

func (m *Member) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}
