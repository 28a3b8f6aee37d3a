package daisystandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// announceInterval is the time between two announcements of a member.
const announceInterval = time.Second

// announcement is the JSON body of a request to /v1/announcements.
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
	Domains  []string // The failure domains of the members, in the order of the members.
	Hosts    []string // Base URLs; an announcement goes to the first host that accepts it.
	Token    string
	Client   *http.Client
}

// Run announces the listening members until ctx is done.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for i, m := range a.Group.Members() {
			if a.Group.isListening(m) {
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

func (g *Group) isListening(m *Member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listeners[m] != nil
}

// Leave makes the member announce that it is leaving and wants no new work.
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
