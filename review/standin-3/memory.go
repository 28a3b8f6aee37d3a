package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is what a process of an entry machine may use: limits.memoryMb.
	memoryLimit = 284 << 20
	// memoryInterval is how often the memory of a process is looked at.
	memoryInterval = 5 * time.Millisecond
	// restartDelay is how long the platform takes to start an ended process again.
	restartDelay = 200 * time.Millisecond

	// longRows is the number of rows of the long answer, of longRowBytes each.
	longRows     = 400
	longRowBytes = 256 << 10
	// answersEach is how often a client asks each entry machine.
	answersEach = 6
	// failingMachines is the number of machines from which on the rule is broken, and
	// allowedEnds how often the process of a machine may end by itself.
	failingMachines = 2
	allowedEnds     = 2
)

// manyItem is an item with longRows rows.
const manyItem = "many"

// memory returns the bytes of memory that the process uses.
func (m *machine) memory() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(content), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes << 10
}

// guard kills the process whenever it uses more memory than it may, as the platform does, and
// starts it again. It returns how often it did when done is closed.
func (m *machine) guard(done <-chan struct{}) (ends, most int) {
	for {
		select {
		case <-done:
			return ends, most
		case <-time.After(memoryInterval):
		}
		used := m.memory()
		most = max(most, used)
		if used <= memoryLimit {
			continue
		}
		ends++
		m.fleet.record.note("%s uses %d MiB and is killed", m.name, used>>20)
		m.end(syscall.SIGKILL)
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			m.fleet.record.note("%s cannot start: %v", m.name, err)
			return ends, most
		}
	}
}

// playLongAnswer lets a client read an item with a long answer on one entry machine after the
// other.
func playLongAnswer(s *stage) (broken []string, err error) {
	item := manyItem
	if !s.trouble {
		item = "first-" + s.entries[0].name
	}
	done := make(chan struct{})
	var guards sync.WaitGroup
	ends, most := make([]int, len(s.entries)), make([]int, len(s.entries))
	for i, m := range s.entries {
		guards.Go(func() { ends[i], most[i] = m.guard(done) })
	}
	for range answersEach {
		for _, m := range s.entries {
			s.readLong(m, item)
		}
	}
	close(done)
	guards.Wait()
	failing := 0
	for i, m := range s.entries {
		s.record.note("%s ended %d times; at most %d MiB were seen in use", m.name, ends[i], most[i]>>20)
		if ends[i] > allowedEnds {
			failing++
		}
	}
	if failing >= failingMachines {
		broken = append(broken, fmt.Sprintf("Fault: the processes of the entry machines ended %v times by themselves, since they used more memory than they may", ends))
	}
	return broken, nil
}

// readLong reads the item over a session of its own, once the machine is ready.
func (s *stage) readLong(m *machine, item string) {
	const startTime, pause = 15 * time.Second, time.Second
	if !await(startTime, m.ready) {
		s.record.note("%s is not ready", m.name)
		return
	}
	c, err := s.connect(m, boundedDatabase)
	if err != nil {
		s.record.note("%s takes no session: %v", m.name, err)
		return
	}
	defer c.close()
	_, _ = c.do("FETCH "+item, 3*time.Second) // The record has the outcome.
	time.Sleep(pause)
}
