package daisyconsensus

import (
	"strings"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
)

// logRole logs the role if it has changed.
func (n *Node) logRole() {
	if role := n.replica.Role(); role != n.role {
		n.role = role
		n.options.Log.WithField("term", n.replica.Term()).Info("quorum: " + formatRole(role))
	}
}

// formatPeers lists the names of the peers, learners in parentheses.
func formatPeers(peers []daisylog.Peer) string {
	var names []string
	for _, peer := range peers {
		if peer.Voting {
			names = append(names, peer.Name)
			continue
		}
		names = append(names, "("+peer.Name+")")
	}
	return strings.Join(names, " ")
}

func formatRole(r daisylog.Role) string {
	switch r {
	case daisylog.Leader:
		return "leads"
	case daisylog.Candidate, daisylog.PreCandidate:
		return "is a candidate"
	}
	return "follows"
}
