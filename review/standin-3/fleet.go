package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of all machines, which differ in their addresses.
const (
	controlPort = 18462
	frontPort   = 18465
	readyPort   = 18460
	firstPort   = 17560
	lastPort    = 17575
)

const (
	program     = "target/daisyglade"
	gracePeriod = 6 * time.Second
	// maxMachines bounds the machines and servers, each with an address of its own.
	maxMachines = 40
)

// zones are those of a small deployment, with their areas.
var zones = [][2]string{{"cardiff", "south-wales"}, {"aberystwyth", "mid-wales"}, {"bangor", "north-wales"}}

// machine runs one process of the project.
type machine struct {
	fleet     *fleet
	name      string
	role      string
	ip        string
	zone      int
	folder    string
	bootstrap bool

	command *exec.Cmd
	ended   chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet is a small deployment of the project's own programs.
type fleet struct {
	record   *record
	network  string // The first three numbers of all addresses.
	folder   string
	platform string // The address of the platform's calls.
	controls []*machine
	entries  []*machine

	mu     sync.Mutex
	held   map[*machine]bool // Machines whose end is the case's own doing.
	closed bool              // No process is started any more.
}

var errClosed = errors.New("the case has ended")

// freeNetwork returns the first three numbers of loopback addresses of which the ports are
// free.
func freeNetwork() (string, error) {
	for range 20 {
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := 1; i <= maxMachines && free; i++ {
			for _, port := range []int{controlPort, frontPort, readyPort, firstPort, firstPort + 1} {
				l, err := listen(fmt.Sprintf("%s.%d:%d", network, i, port))
				if free = err == nil; !free {
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no loopback addresses with free ports were found")
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

func newFleet(r *record, network, folder, platform string, controls, entries int) *fleet {
	f := &fleet{record: r, network: network, folder: folder, platform: platform, held: make(map[*machine]bool)}
	add := func(role string, i int) *machine {
		n := len(f.controls) + len(f.entries) + 1
		name := fmt.Sprintf("%s-%d", role, i+1)
		return &machine{
			fleet: f, name: name, role: role, ip: fmt.Sprintf("%s.%d", network, n), zone: i % len(zones),
			folder: filepath.Join(folder, name), bootstrap: true,
		}
	}
	for i := range controls {
		f.controls = append(f.controls, add("control", i))
	}
	for i := range entries {
		f.entries = append(f.entries, add("entry", i))
	}
	return f
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine{}, f.controls...), f.entries...)
}

// start starts all machines.
func (f *fleet) start() error {
	for _, m := range f.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// close kills all processes, after which none is started.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, m := range f.machines() {
		m.end(syscall.SIGKILL)
	}
}

// settings returns the settings file of the machine.
func (m *machine) settings() string {
	var seeds []string
	for _, c := range m.fleet.controls[:min(3, len(m.fleet.controls))] {
		seeds = append(seeds, c.address(controlPort))
	}
	lines := []string{
		"nodeName=" + m.name, "role=" + m.role, "ip=" + m.ip, "zone=" + zones[m.zone][0], "region=" + zones[m.zone][1],
		fmt.Sprintf("internalPorts=%d,%d", firstPort, lastPort), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%t", m.bootstrap), "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4300", "limits.linkMbps=1000.0",
		"discovery=registration", "entry=vip", "heartbeatMs=1200", "contracts=base,drain,config,cost,recover,sql,tenants,quota",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.stableWindowMs=5000", "bounds.ackMs=6000", "bounds.catchUpS=4",
		"bounds.drainMs=7000", fmt.Sprintf("bounds.graceS=%d", int(gracePeriod.Seconds())), "bounds.configApplyMs=3000", "bounds.recoverS=12",
		"config_mode=highest", "cloudApi.address=" + m.fleet.platform, "cloudApi.ratePerS=50.0", "cloudApi.duties=failover", "cloudApi.dutyPerS=50.0",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z[0]+"="+z[1])
	}
	if m.role == "control" {
		lines = append(lines, "machineClass=core", "serves=control_plane", "faultCounted=true", "bindAddrs.control="+m.address(controlPort), "dataDir="+filepath.Join(m.folder, "data"))
	} else {
		lines = append(lines, "machineClass=frontend", "serves=frontend", "faultCounted=false", "bindAddrs.front="+m.address(frontPort), "bindAddrs.ready="+m.address(readyPort))
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(m.folder, "node.conf")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.folder, "output"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	c := exec.CommandContext(context.Background(), program, m.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYGLADE_NODE_FILE=" + path}
	c.Stdout, c.Stderr = output, output
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errClosed
	}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.command, m.ended, m.bootstrap = c, ended, false
	f.held[m] = false
	go func() {
		_ = c.Wait()
		f.mu.Lock()
		held := f.held[m]
		f.mu.Unlock()
		if !held {
			f.record.note("%s ended by itself: %v", m.name, c.ProcessState)
		}
		close(ended)
	}()
	return nil
}

// end ends the process with the signal, and with SIGKILL after the grace period. It waits
// for its end.
func (m *machine) end(s syscall.Signal) {
	if m.command == nil {
		return
	}
	m.fleet.mu.Lock()
	m.fleet.held[m] = true
	m.fleet.mu.Unlock()
	_ = m.command.Process.Signal(s)
	select {
	case <-m.ended:
		return
	case <-time.After(gracePeriod):
	}
	_ = m.command.Process.Signal(syscall.SIGKILL)
	<-m.ended
}

// ready reports whether the entry machine is in rotation.
func (m *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, _, err := call(ctx, http.MethodGet, m.address(readyPort), "/readyz", nil)
	return err == nil && status == http.StatusOK
}

// leader returns the control machine that answers as the leader, or nil.
func (f *fleet) leader() *machine {
	for _, m := range f.controls {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		status, _, err := call(ctx, http.MethodGet, m.address(controlPort), "/config", nil)
		cancel()
		if err == nil && status == http.StatusOK {
			return m
		}
	}
	return nil
}

// await waits until the condition holds. It returns false if that takes too long.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
