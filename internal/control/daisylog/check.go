package daisylog

import (
	"errors"
	"fmt"
)

const (
	// maxNumber bounds terms, indexes and rounds in messages, so that none of them overflows
	// when it is increased.
	maxNumber = 1 << 62
	// maxNameBytes is the most bytes of a host name in a configuration.
	maxNameBytes = 1 << 10
)

var (
	errNumber  = errors.New("term, index or round is out of range")
	errSender  = errors.New("message names no sender")
	errEntries = errors.New("entries do not follow each other")
)

// Check returns an error if no replica sends such a message. Step relies on it.
func (m *Message) Check() error {
	if m.From == 0 {
		return errSender
	}
	for _, n := range []uint64{m.Term, m.Index, m.LogTerm, m.Commit, m.Round} {
		if n >= maxNumber {
			return errNumber
		}
	}
	switch m.Kind {
	case KindAppend:
		return m.checkEntries()
	case KindSnapshot:
		return m.checkSnapshot()
	case KindJoin:
		return m.checkJoin()
	}
	return nil
}

func (m *Message) checkEntries() error {
	index, term := m.Index, m.LogTerm
	for _, e := range m.Entries {
		if e.Index != index+1 || e.Term < term || e.Term > m.Term {
			return fmt.Errorf("%w: %d of term %d after %d of term %d", errEntries, e.Index, e.Term, index, term)
		}
		if err := checkPeers(e.Configuration); err != nil {
			return err
		}
		index, term = e.Index, e.Term
	}
	return nil
}

func (m *Message) checkSnapshot() error {
	s := m.Snapshot
	if s == nil {
		return errors.New("message has no snapshot")
	}
	if s.Index >= maxNumber || s.Term > m.Term {
		return errNumber
	}
	return checkPeers(s.Configuration)
}

func (m *Message) checkJoin() error {
	if m.Peer == nil || m.Peer.Replica != m.From {
		return errors.New("message does not name the replica that joins")
	}
	return checkPeers([]Peer{*m.Peer})
}

// checkPeers returns an error unless the peers can be a configuration or a part of one.
func checkPeers(peers []Peer) error {
	seen := make(map[ReplicaID]bool, len(peers))
	for _, p := range peers {
		switch {
		case p.Replica == 0 || seen[p.Replica]:
			return fmt.Errorf("replica %d is not valid or there twice", p.Replica)
		case !p.Address.IsValid():
			return fmt.Errorf("replica %d has no address", p.Replica)
		case len(p.Name) > maxNameBytes:
			return fmt.Errorf("replica %d has a name of %d bytes", p.Replica, len(p.Name))
		}
		seen[p.Replica] = true
	}
	return nil
}
