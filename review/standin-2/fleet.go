package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	controlHosts = 5
	entryHosts   = 6
	seedCount    = 3

	// memoryMiB is what a process of the small deployment may use. The platform ends one
	// that uses more.
	memoryMiB      = 284
	memoryInterval = 5 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	pollInterval   = 20 * time.Millisecond
)

var zones = []struct{ name, region string }{
	{"cardiff", "south-wales"}, {"aberystwyth", "mid-wales"}, {"bangor", "north-wales"},
}

// ports are the same on all machines.
type ports struct{ front, ready, control, link int }

// host is a machine with one process.
type host struct {
	name, role, ip, zone string
	folder               string

	mu      sync.Mutex
	command *exec.Cmd
	peak    int // The most memory seen, in MiB.
	ends    []string
	removed bool          // Its process is not started again.
	down    time.Duration // How long its process stays down when it ends next; 0 stands for restartDelay.
}

// fleet is a small deployment: its processes, the platform and the backend servers.
type fleet struct {
	record   *record
	program  string
	folder   string
	prefix   string // The first three numbers of all addresses.
	ports    ports
	controls []*host
	entries  []*host
	platform *platform
	groups   []*group
	operator *operator
	ctx      context.Context // Done when the fleet is closed.
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// openFleet starts the processes and the stand-ins, and waits until all entry hosts are
// ready.
func openFleet(ctx context.Context, program string, r *record) (f *fleet, err error) {
	ctx, cancel := context.WithCancel(ctx)
	f = &fleet{record: r, program: program, ctx: ctx, cancel: cancel, prefix: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.folder, err = os.MkdirTemp("", "daisyglade-review-"); err != nil {
		return f, err
	}
	for i := range controlHosts {
		f.controls = append(f.controls, f.host("control", i, i+1))
	}
	for i := range entryHosts {
		f.entries = append(f.entries, f.host("entry", i, controlHosts+i+1))
	}
	if f.ports, err = f.freePorts(ctx); err != nil {
		return f, err
	}
	if f.platform, err = openPlatform(ctx, f); err != nil {
		return f, err
	}
	f.operator = &operator{fleet: f}
	for i := range 3 {
		g, err := openGroup(ctx, f, fmt.Sprint("s", i+1), i)
		if err != nil {
			return f, err
		}
		f.groups = append(f.groups, g)
	}
	for _, h := range append(f.controls[:controlHosts:controlHosts], f.entries...) {
		f.wait.Go(func() { f.supervise(ctx, h, true) })
	}
	if err := f.operator.apply(ctx, newDocument()); err != nil {
		return f, err
	}
	return f, f.awaitReady(ctx)
}

func (f *fleet) host(role string, i, number int) *host {
	name := fmt.Sprintf("%s-%d", role, i+1)
	return &host{
		name: name, role: role, ip: fmt.Sprintf("%s.%d", f.prefix, number), zone: zones[i%len(zones)].name,
		folder: filepath.Join(f.folder, name),
	}
}

// freePorts returns ports that are free on all machines.
func (f *fleet) freePorts(ctx context.Context) (ports, error) {
	first := 20000 + rand.IntN(8000)
	for range 50 {
		first += 37
		if f.areFree(ctx, first, 6) {
			return ports{front: first, ready: first + 1, control: first + 2, link: first + 3}, nil
		}
	}
	return ports{}, errors.New("no ports are free")
}

func (f *fleet) areFree(ctx context.Context, first, count int) bool {
	for _, h := range append(f.controls[:controlHosts:controlHosts], f.entries...) {
		for port := first; port < first+count; port++ {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address(h.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (f *fleet) front(i int) string { return address(f.entries[i].ip, f.ports.front) }

// settings returns the content of the settings file of a host.
func (f *fleet) settings(h *host, bootstrap bool) string {
	var seeds []string
	for _, c := range f.controls[:seedCount] {
		seeds = append(seeds, address(c.ip, f.ports.control))
	}
	lines := []string{
		"nodeName=" + h.name, "role=" + h.role, "ip=" + h.ip, "zone=" + h.zone,
		fmt.Sprintf("internalPorts=%d,%d", f.ports.link, f.ports.link+2), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%t", bootstrap), fmt.Sprintf("limits.memoryMb=%d", memoryMiB), "limits.maxFds=4300",
		"limits.linkMbps=1000.0", "heartbeatMs=1200", "faultTolerance.machines=2", "bounds.graceS=6",
		"cloudApi.address=" + f.platform.address,
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z.name+"="+z.region)
		if z.name == h.zone {
			lines = append(lines, "region="+z.region)
		}
	}
	if h.role == "control" {
		lines = append(lines, "bindAddrs.control="+address(h.ip, f.ports.control), "dataDir="+filepath.Join(h.folder, "data"))
	} else {
		lines = append(lines, "bindAddrs.front="+address(h.ip, f.ports.front), "bindAddrs.ready="+address(h.ip, f.ports.ready))
	}
	return strings.Join(lines, "\n") + "\n"
}

// supervise runs the process of a host as the platform does: it starts it again when it
// has ended, and ends it when it uses more memory than it may.
func (f *fleet) supervise(ctx context.Context, h *host, bootstrap bool) {
	for ; ctx.Err() == nil; bootstrap = false {
		if err := f.start(ctx, h, bootstrap); err != nil {
			f.record.note("%s could not be started: %v", h.name, err)
			return
		}
		h.mu.Lock()
		c := h.command
		h.mu.Unlock()
		done := make(chan struct{})
		f.wait.Go(func() { f.limitMemory(h, c, done) })
		err := c.Wait()
		close(done)
		if ctx.Err() != nil {
			return
		}
		h.mu.Lock()
		h.ends = append(h.ends, fmt.Sprint(err))
		removed, down := h.removed, cmp.Or(h.down, restartDelay)
		h.down = 0
		h.mu.Unlock()
		f.record.note("%s ended: %v", h.name, err)
		if removed {
			return
		}
		select {
		case <-time.After(down):
		case <-ctx.Done():
		}
	}
}

func (f *fleet) start(ctx context.Context, h *host, bootstrap bool) error {
	if err := os.MkdirAll(filepath.Join(h.folder, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(h.folder, "node.conf")
	if err := os.WriteFile(path, []byte(f.settings(h, bootstrap)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(h.folder, "output"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	c := exec.CommandContext(ctx, f.program, h.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.folder, "DAISYGLADE_NODE_FILE=" + path}
	c.Stdout, c.Stderr = output, output
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = c
	return c.Start()
}

// limitMemory ends the process once it uses more memory than its machine has.
func (f *fleet) limitMemory(h *host, c *exec.Cmd, done <-chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
		used := residentMiB(c.Process.Pid)
		h.mu.Lock()
		h.peak = max(h.peak, used)
		h.mu.Unlock()
		if used > memoryMiB {
			f.record.note("%s uses %d MiB of memory, and may use %d: the platform ends it", h.name, used, memoryMiB)
			_ = c.Process.Signal(syscall.SIGKILL)
			return
		}
	}
}

// residentMiB returns the resident memory of a process, 0 if it has ended.
func residentMiB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// endings returns how often the process of the host has ended by itself or for its memory.
func (h *host) endings() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ends)
}

func (h *host) mostMemory() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peak
}

// add starts another control host, with an empty disk.
func (f *fleet) add() {
	h := f.host("control", len(f.controls), controlHosts+entryHosts+1)
	f.controls = append(f.controls, h)
	f.record.note("%s is added", h.name)
	f.wait.Go(func() { f.supervise(f.ctx, h, false) })
}

// remove stops the process of a host for good.
func (f *fleet) remove(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removed = true
	f.record.note("%s is removed: SIGTERM", h.name)
	_ = h.command.Process.Signal(syscall.SIGTERM)
}

// wipe ends the process of a host, which loses its disk and starts again after a time.
func (f *fleet) wipe(h *host, down time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
	f.record.note("%s loses its power and its disk", h.name)
	_ = h.command.Process.Kill()
	return os.RemoveAll(filepath.Join(h.folder, "data"))
}

// awaitReady waits until all entry hosts report that they are ready.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, h := range f.entries {
		if err := f.awaitHost(ctx, h); err != nil {
			return err
		}
	}
	f.record.note("all entry hosts are ready")
	return nil
}

func (f *fleet) awaitHost(ctx context.Context, h *host) error {
	return poll(ctx, func() bool {
		status, _, err := call(ctx, http.MethodGet, "http://"+address(h.ip, f.ports.ready)+"/readyz", nil)
		return err == nil && status == http.StatusOK
	})
}

// poll waits until the condition holds.
func poll(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	f.cancel()
	for _, g := range f.groups {
		for _, r := range g.history() {
			f.record.noteAt(r.at, "%s ran on connection %s, with a log of %d entries: %s %s", r.member, r.conn, r.number, r.id, r.text)
		}
	}
	for _, h := range append(f.controls[:len(f.controls):len(f.controls)], f.entries...) {
		h.mu.Lock()
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Kill()
		}
		h.mu.Unlock()
	}
	f.wait.Wait()
	if f.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// callTimeout is how long callers of control hosts wait for a response.
const callTimeout = time.Second

// call makes an HTTP call without following redirects.
func call(ctx context.Context, method, url string, body []byte) (status int, answer *response, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	a, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = a.Body.Close() }()
	content, err := io.ReadAll(a.Body)
	return a.StatusCode, &response{location: a.Header.Get("Location"), body: content}, err
}

type response struct {
	location string
	body     []byte
}
