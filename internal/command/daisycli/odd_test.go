package daisycli_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/control/daisylog"
	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/net/daisylink"
	"github.com/daisyglade/daisyglade/internal/net/daisynet"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
	"github.com/daisyglade/daisyglade/platform"
)

// Ports of the hosts of an oddFleet, on addresses of their own.
const (
	oddFront, oddReady, oddControl, oddLink, oddMetrics = "8465", "8460", "8462", "7560", "7561"

	oddControls = 3
	// oddLimit bounds each wait. No test checks how long an event takes.
	oddLimit = 60 * time.Second
	// oddReply is how long an odd call waits for a reply; many get none.
	oddReply = 300 * time.Millisecond
)

// output collects what a process writes.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// oddHost is a process and what it wrote in all its lives.
type oddHost struct {
	address string
	role    string
	file    string // Settings.
	output  output
	command *exec.Cmd
	ended   chan struct{}
}

func (h *oddHost) start(t *testing.T) {
	h.command = exec.CommandContext(context.Background(), os.Args[0])
	h.command.Env = append(os.Environ(), argsVariable+"="+h.role, platform.SettingsVariable+"="+h.file)
	h.command.Stdout, h.command.Stderr = &h.output, &h.output
	assert.NilError(t, h.command.Start())
	ended := make(chan struct{})
	h.ended = ended
	go func(c *exec.Cmd) {
		_ = c.Wait() // The output and the process state tell how it ended.
		close(ended)
	}(h.command)
}

func (h *oddHost) kill() {
	_ = h.command.Process.Kill()
	<-h.ended
}

// checkRuns fails the test if the process has ended.
func (h *oddHost) checkRuns(t *testing.T, after string) {
	t.Helper()
	select {
	case <-h.ended:
		t.Fatalf("%s at %s ended after %s: %v\n%s", h.role, h.address, after, h.command.ProcessState, h.output.String())
	default:
	}
	assert.Assert(t, !strings.Contains(h.output.String(), "panic"), "after %s: %s", after, h.output.String())
}

// startOddFleet starts control hosts and an entry host. Their addresses depend on the
// process, so that runs of the test do not meet.
func startOddFleet(t *testing.T) []*oddHost {
	var hosts []*oddHost
	var seeds []string
	for i := range oddControls + 1 {
		hosts = append(hosts, &oddHost{role: "control", address: fmt.Sprintf("127.%d.%d.%d", 81+i, os.Getpid()>>8&0xff, os.Getpid()&0xff)})
		if i < oddControls {
			seeds = append(seeds, hosts[i].address+":"+oddControl)
		}
	}
	hosts[oddControls].role = "entry"
	for i, h := range hosts {
		folder := t.TempDir()
		settings := fmt.Sprintf("nodeName=h%d\nip=HOST\nzone=a\nregion=r\nzones.a=r\ninternalPorts=7560,7575\nbounds.graceS=6\nlimits.memoryMb=284\n"+
			"cloudApi.address=127.81.0.9:1\nfaultTolerance.machines=1\nbootstrap=true\ndataDir=%s\nseeds=%s\n"+
			"bindAddrs.control=HOST:%s\nbindAddrs.front=HOST:%s\nbindAddrs.ready=HOST:%s\n",
			i, filepath.Join(folder, "data"), strings.Join(seeds, ","), oddControl, oddFront, oddReady)
		h.file = filepath.Join(folder, "node.conf")
		assert.NilError(t, os.WriteFile(h.file, []byte(strings.ReplaceAll(settings, "HOST", h.address)), 0o600))
		h.start(t)
		t.Cleanup(h.kill)
	}
	return hosts
}

// call makes a call to each control host until one answers 200, and returns the answer.
func call(t *testing.T, hosts []*oddHost, method, path, body string) string {
	t.Helper()
	for end := time.Now().Add(oddLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, h := range hosts[:oddControls] {
			r, err := http.NewRequestWithContext(t.Context(), method, "http://"+h.address+":"+oddControl+path, strings.NewReader(body))
			assert.NilError(t, err)
			response, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				continue
			}
			answer, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK {
				return string(answer)
			}
		}
	}
	t.Fatalf("%s %s was not answered", method, path)
	return ""
}

// sendOdd sends the bytes and reads what comes back, if anything does.
func sendOdd(ctx context.Context, address string, content []byte) {
	conn, err := (&net.Dialer{Timeout: oddReply}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(oddReply))
	_, _ = conn.Write(content)
	_, _ = io.Copy(io.Discard, conn)
}

func request(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

const oddServer = `{"service":"s1","address":"10.9.9.9:80","zone":"a","version":"v1","state":"ready","coldLeftMs":0,"dbRole":"replica","sequence":1,"capacity":%s,"born":1700000000000}`

// oddCalls are sent to each port of each host.
var oddCalls = []struct{ name, content string }{
	{"Nothing", ""},
	{"NUL", strings.Repeat("\x00", 1000)},
	{"NoUTF8", strings.Repeat("\xff\xfe", 1000)},
	{"EndlessLine", strings.Repeat("x", 4<<20)},
	{"EmptyLines", strings.Repeat("\r\n", 1000)},
	{"TLS", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"},
	{"HTTP10", "GET /config HTTP/1.0\r\n\r\n"},
	{"NoVersion", "GET /config\r\n\r\n"},
	{"HeaderWithoutName", "GET /config HTTP/1.1\r\n: x\r\n\r\n"},
	{"HeaderNUL", "GET /config HTTP/1.1\r\nHost: h\r\nX: \x00\r\n\r\n"},
	{"ManyHeaders", "GET /config HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: y\r\n", 100_000) + "\r\n"},
	{"TwoLengths", "PUT /config HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}"},
	{"LengthNegative", "PUT /config HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n{}"},
	{"LengthHuge", "PUT /config HTTP/1.1\r\nHost: h\r\nContent-Length: 9223372036854775807\r\n\r\n{}"},
	{"BodyCut", "PUT /config HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n{"},
	{"ChunkCut", "PUT /config HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n{"},
	{"ChunkHuge", "PUT /instances/i HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n{"},
	{"Pipelined", strings.Repeat(request("PUT", "/instances/i-9", fmt.Sprintf(oddServer, "3")), 50)},
	{"PathLong", request("PUT", "/instances/"+strings.Repeat("p", 900_000), fmt.Sprintf(oddServer, "3"))},
	{"PathNoUTF8", request("PUT", "/instances/%FF%FE", fmt.Sprintf(oddServer, "3"))},
	{"PathNUL", request("PUT", "/instances/o%00%0D%0Ad", fmt.Sprintf(oddServer, "3"))},
	{"PathCut", request("PUT", "/instances/%F", fmt.Sprintf(oddServer, "3"))},
	{"PathDots", request("PUT", "/instances/%2e%2e%2f", fmt.Sprintf(oddServer, "3"))},
	{"PathSurrogate", request("PUT", "/instances/%ED%A0%80", fmt.Sprintf(oddServer, "3"))},
	{"LeaveNoUTF8", request("DELETE", "/instances/%FF", "")},
	{"LeaveNUL", request("DELETE", "/instances/%00", "")},
	{"EvacuateUnknown", request("POST", "/evacuations/nowhere", "")},
	{"EvacuateNoUTF8", request("POST", "/evacuations/%FF%FE", "")},
	{"EvacuateLong", request("POST", "/evacuations/"+strings.Repeat("z", 100_000), "")},
	{"WithdrawUnknown", request("DELETE", "/evacuations/%00", "")},
	{"Nested", request("PUT", "/config", strings.Repeat("[", 100_000))},
	{"NestedServer", request("PUT", "/instances/i", fmt.Sprintf(oddServer, strings.Repeat("[", 30_000)))},
	{"KeysTwice", request("PUT", "/instances/i", `{"service":"a","service":"\u0000","address":1,"address":"10.9.9.9:80","state":"ready","sequence":1,"sequence":2}`)},
	{"Digits", request("PUT", "/instances/i", fmt.Sprintf(oddServer, strings.Repeat("9", 400)))},
	{"VersionDigits", request("PUT", "/config", `{"version":`+strings.Repeat("9", 400)+`,"routes":[],"services":[]}`)},
	{"TextNoUTF8", request("PUT", "/instances/i", strings.Replace(fmt.Sprintf(oddServer, "3"), "s1", "\xff\xfe", 1))},
	{"ByteOrderMark", request("PUT", "/config", "\ufeff{}")},
	{"Null", request("PUT", "/config", "null")},
	{"ManyRoutes", request("PUT", "/config", `{"version":9,"services":[],"routes":[`+strings.Repeat("0,", 4_000_000)+`0]}`)},
	{"RouteNULs", request("POST", "/v1/route", "\x00")},
	{"Line", "STARTUP \xff\xfe \x00\r\nQUERY\r\n"},
	{"LineUnknown", "STARTUP d k\r\nQUERY 1 " + strings.Repeat("(", 100_000) + "\r\n"},
	{"LinkUpgrade", "GET /log HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n\x82\xff\xff\xff\xff\xff\xff\xff\xff\xff"},
}

// oddMessages are sent over links of each path.
func oddMessages() [][]byte {
	deep := bytes.Repeat([]byte{0x81}, 100_000)
	huge := []byte{0xa1, 0x66, 'R', 'e', 'c', 'o', 'r', 'd', 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}
	messages := [][]byte{nil, {0}, deep, huge, bytes.Repeat([]byte{0xff}, 1000)}
	for _, m := range []daisylog.Message{
		{Kind: daisylog.KindAppend, From: 9, Term: math.MaxUint64},
		{Kind: daisylog.KindAppend, From: 9, Term: 9, Index: math.MaxUint64, Entries: make([]daisylog.Entry, 3)},
		{Kind: daisylog.KindAppend, From: 9, Term: 9, Index: 3, Entries: []daisylog.Entry{{Index: 1 << 60, Term: 9}}},
		{Kind: daisylog.KindSnapshot, From: 9, Term: 9},
		{Kind: daisylog.KindSnapshot, From: 9, Term: 9, Snapshot: &daisylog.Snapshot{Index: math.MaxUint64, Term: 9}},
		{Kind: daisylog.KindJoin, From: 9},
		{Kind: daisylog.KindJoin, Peer: &daisylog.Peer{Name: "odd"}},
		{Kind: daisylog.KindAppendReply, From: 9, Index: math.MaxUint64},
		{Kind: daisylog.KindRetire, From: 9},
		{Kind: daisylog.KindRetired, From: 9, Term: 1},
		{Kind: "Odd", From: 9},
	} {
		messages = append(messages, daisycodec.EncodeLogMessage(m))
	}
	bad := daisyfleet.Change{ID: "\xff", Reason: "\xff", Operations: []daisyfleet.Operation{{ID: daisyfleet.ID{Kind: daisyfleet.KindServer, Name: "\xff"}, Value: daisyfleet.Server{}}}}
	return append(messages,
		daisycodec.EncodeHeartbeat(daisyheartbeat.Heartbeat{}),
		daisycodec.EncodeHeartbeat(daisyheartbeat.Heartbeat{Host: "\xff\xfe", FailureDomain: "\x00", Address: netip.MustParseAddrPort("[fe80::1%\xff]:1")}),
		daisycodec.EncodeProposal(daisycodec.Proposal{Change: bad}),
		daisycodec.EncodeProposal(daisycodec.Proposal{}),
	)
}

func sendOddMessage(t *testing.T, address string, path daisylink.Path, message []byte) {
	ctx, cancel := context.WithTimeout(t.Context(), oddReply)
	defer cancel()
	link, err := daisylink.NewPlainDialer("odd", daisynet.TCP{}).Dial(ctx, netip.MustParseAddrPort(address), path)
	if err != nil {
		return
	}
	defer link.Close()
	if link.Send(ctx, message) == nil {
		_, _ = link.Receive(ctx)
	}
}

// Guards against bytes on any port that end a host, now or when it reads its disk again,
// or that cost the desired state.
func TestOddBytesEndNoHost(t *testing.T) {
	if testing.Short() {
		t.Skip("the hosts run in real time")
	}
	hosts := startOddFleet(t)
	const want = `{"version":7,"routes":[{"name":"r1","host":"d","pathPrefix":"/","routeType":"primary","timeoutMs":1000,"service":"s1"}],"services":[{"name":"s1","maxConns":21}]}`
	call(t, hosts, http.MethodPut, "/config", want)
	for _, test := range oddCalls {
		var calls sync.WaitGroup
		for _, h := range hosts {
			for _, port := range []string{oddFront, oddReady, oddControl, oddLink, oddMetrics} {
				calls.Go(func() { sendOdd(t.Context(), h.address+":"+port, []byte(test.content)) })
			}
		}
		calls.Wait()
		for _, h := range hosts {
			h.checkRuns(t, test.name)
		}
	}
	for i, message := range oddMessages() {
		var calls sync.WaitGroup
		for _, h := range hosts {
			for _, path := range []daisylink.Path{daisylink.PathLog, daisylink.PathHeartbeat, daisylink.PathStatement} {
				calls.Go(func() { sendOddMessage(t, h.address+":"+oddLink, path, message) })
			}
		}
		calls.Wait()
		for _, h := range hosts {
			h.checkRuns(t, fmt.Sprint("message ", i))
		}
	}
	assert.Equal(t, call(t, hosts, http.MethodGet, "/config", ""), want)
	for _, h := range hosts {
		h.kill()
	}
	for _, h := range hosts {
		h.start(t)
	}
	assert.Equal(t, call(t, hosts, http.MethodGet, "/config", ""), want)
	for _, h := range hosts {
		h.checkRuns(t, "the restart")
	}
}
