package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and sizes of a small deployment, as the users' pages state them.
const (
	heartbeat     = 1200 * time.Millisecond
	configApply   = 3000 * time.Millisecond
	ackTime       = 6000 * time.Millisecond
	graceSeconds  = 6
	recoverTime   = 12 * time.Second
	restartDelay  = 500 * time.Millisecond
	startupTime   = 20 * time.Second
	portsPerHost  = 15
	spareHosts    = 1 // Hosts that a case may add.
	maxPortTrials = 50
	// maxNotedExits is how many ends of one process by itself the record has.
	maxNotedExits = 3
)

// zones are the failure domains with their regions.
var zones = []struct{ name, region string }{
	{"cardiff", "south-wales"}, {"aberystwyth", "mid-wales"}, {"bangor", "north-wales"},
}

// process is one process of the system.
type process struct {
	name      string
	role      string
	ip        string
	zone      string
	folder    string // Its settings file, logs and data.
	bootstrap bool
	command   *exec.Cmd
	done      chan struct{} // Closed when the running process has ended.
	exits     int           // Ends that the case did not cause.
	expected  bool          // The case ends the running process.
}

// fleet is the system's processes with their addresses.
type fleet struct {
	rec      *record
	root     string // Of the repository.
	folder   string
	commands map[string][]string // By role, from the deploy file.
	network  string              // The first two numbers of all addresses.
	front    int                 // Ports, the same on all hosts.
	ready    int
	control  int
	internal int
	cloud    string
	seed     int // The first of the three control hosts that the settings name as seeds.

	starts chan func() // Run by a thread that lives as long as the program.

	mu        sync.Mutex
	processes []*process
	closed    bool
}

func newFleet(rec *record, root string, controls, entries int) (*fleet, error) {
	f := &fleet{rec: rec, root: root, starts: make(chan func())}
	go f.runStarts()
	var err error
	if f.commands, err = deployCommands(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	if f.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	f.network = fmt.Sprintf("127.%d", 20+rand.IntN(200))
	if err := f.choosePorts(controls + entries + spareHosts); err != nil {
		return nil, err
	}
	for i := range controls {
		f.add("control", i)
	}
	for i := range entries {
		f.add("entry", i)
	}
	return f, nil
}

// deployCommands returns the commands of the roles in the deploy file.
func deployCommands(path string) (map[string][]string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	commands := make(map[string][]string)
	role := ""
	for _, line := range strings.Split(string(content), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if value, ok := strings.CutPrefix(line, "run ="); ok && role != "" {
			commands[role] = strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	if len(commands["entry"]) == 0 || len(commands["control"]) == 0 {
		return nil, errors.New("the deploy file has no roles entry and control")
	}
	return commands, nil
}

// choosePorts chooses ports that are free on all addresses of the fleet.
func (f *fleet) choosePorts(hosts int) error {
	for range maxPortTrials {
		first := 20000 + rand.IntN(9000)
		if f.portsFree(first, hosts) {
			f.front, f.ready, f.control, f.internal = first, first+1, first+2, first+3
			return nil
		}
	}
	return errors.New("found no free ports")
}

func (f *fleet) portsFree(first, hosts int) bool {
	for i := range hosts {
		for port := first; port < first+3+portsPerHost; port++ {
			l, err := listen(fmt.Sprintf("%s.1.%d:%d", f.network, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// listen opens a listener on a loopback address.
func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

// add adds a process that is not started yet.
func (f *fleet) add(role string, i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &process{
		name: fmt.Sprintf("%s-%d", role, i+1), role: role, zone: zones[i%len(zones)].name,
		ip: fmt.Sprintf("%s.1.%d", f.network, len(f.processes)+1), bootstrap: true,
	}
	p.folder = filepath.Join(f.folder, p.name)
	f.processes = append(f.processes, p)
}

// ofRole returns the processes of a role.
func (f *fleet) ofRole(role string) (found []*process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.role == role {
			found = append(found, p)
		}
	}
	return found
}

func (f *fleet) controlAddr(p *process) string { return fmt.Sprintf("%s:%d", p.ip, f.control) }
func (f *fleet) frontAddr(p *process) string   { return fmt.Sprintf("%s:%d", p.ip, f.front) }
func (f *fleet) readyAddr(p *process) string   { return fmt.Sprintf("%s:%d", p.ip, f.ready) }

// writeSettings writes the settings file of a process.
func (f *fleet) writeSettings(p *process) error {
	var seeds []string
	for _, c := range f.ofRole("control")[f.seed : f.seed+3] {
		seeds = append(seeds, f.controlAddr(c))
	}
	region := zones[slices.IndexFunc(zones, func(z struct{ name, region string }) bool { return z.name == p.zone })].region
	lines := []string{
		"nodeName=" + p.name, "role=" + p.role, "ip=" + p.ip, "zone=" + p.zone, "region=" + region,
		fmt.Sprintf("internalPorts=%d,%d", f.internal, f.internal+portsPerHost-1), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%t", p.bootstrap), "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4300", "limits.linkMbps=1000.0",
		"discovery=registration", "entry=vip", "heartbeatMs=1200", "faultTolerance.machines=2", "faultTolerance.zones=0",
		"faultTolerance.regions=0", "bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.stableWindowMs=5000", "bounds.ackMs=6000",
		"bounds.catchUpS=4", "bounds.drainMs=7000", fmt.Sprintf("bounds.graceS=%d", graceSeconds), "bounds.lossSlackMs=200",
		"bounds.configApplyMs=3000", "bounds.downgradeSlackMs=250", "bounds.maxStretchMs=15000", "bounds.revokeFailClosed=false",
		"bounds.revokeMs=5000", "bounds.recoverS=12", "bounds.requireFencing=false", "bounds.thawSlackMs=300", "config_mode=highest",
		"cloudApi.address=" + f.cloud, "cloudApi.ratePerS=50.0", "cloudApi.duties=failover", "cloudApi.dutyPerS=50.0",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z.name+"="+z.region)
	}
	if p.role == "control" {
		lines = append(lines, "serves=control_plane", "machineClass=core", "faultCounted=true", "bindAddrs.control="+f.controlAddr(p), "dataDir="+filepath.Join(p.folder, "data"))
	} else {
		lines = append(lines, "serves=frontend", "machineClass=frontend", "faultCounted=false", "bindAddrs.front="+f.frontAddr(p), "bindAddrs.ready="+f.readyAddr(p))
	}
	if err := os.MkdirAll(p.folder, 0o700); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.folder, "node.conf"), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// runStarts starts processes on one thread. They are killed when it ends, so that none
// outlives the program.
func (f *fleet) runStarts() {
	runtime.LockOSThread()
	for start := range f.starts {
		start()
	}
}

// start starts the process with the command of the deploy file. A process that ends by
// itself is started again after restartDelay.
func (f *fleet) start(p *process) error {
	if err := f.writeSettings(p); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	args := f.commands[p.role]
	c := exec.CommandContext(context.Background(), filepath.Join(f.root, args[0]), args[1:]...)
	c.Dir, c.Stdout, c.Stderr = f.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "DAISYGLADE_NODE_FILE=" + filepath.Join(p.folder, "node.conf")}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	f.starts <- func() { started <- c.Start() }
	if err := <-started; err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p.command, p.done, p.expected, p.bootstrap = c, make(chan struct{}), false, false
	go f.await(p, c, p.done)
	return nil
}

// await waits for the end of the process and restarts it if it ended by itself.
func (f *fleet) await(p *process, c *exec.Cmd, done chan struct{}) {
	err := c.Wait()
	f.mu.Lock()
	byItself := !p.expected && !f.closed
	if byItself {
		p.exits++
	}
	exits := p.exits
	f.mu.Unlock()
	close(done)
	if !byItself {
		return
	}
	if exits <= maxNotedExits {
		f.rec.line("process %s ended by itself: %v; its last line: %s", p.name, err, strings.ReplaceAll(tail(filepath.Join(p.folder, "log"), 1), f.folder, "FOLDER"))
	}
	time.Sleep(restartDelay)
	f.mu.Lock()
	again := !f.closed && p.command == c
	f.mu.Unlock()
	if again {
		if err := f.start(p); err != nil {
			f.rec.line("process %s could not be started again: %v", p.name, err)
		}
	}
}

// kill ends the process with SIGKILL and waits until it has ended.
func (f *fleet) kill(p *process) {
	f.mu.Lock()
	c, done := p.command, p.done
	p.expected = true
	f.mu.Unlock()
	if c == nil {
		return
	}
	f.rec.line("SIGKILL to %s", p.name)
	_ = c.Process.Signal(syscall.SIGKILL)
	<-done
}

// exits returns how often processes of the role ended by themselves.
func (f *fleet) exits(role string) (n int) {
	for _, p := range f.ofRole(role) {
		f.mu.Lock()
		n += p.exits
		f.mu.Unlock()
	}
	return n
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	all := slices.Clone(f.processes)
	f.mu.Unlock()
	for _, p := range all {
		f.mu.Lock()
		c, done := p.command, p.done
		f.mu.Unlock()
		if c != nil {
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Signal(syscall.SIGKILL)
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// tail returns the last lines of a file.
func tail(path string, n int) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], " | ")
}
