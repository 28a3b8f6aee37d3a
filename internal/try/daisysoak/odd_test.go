package daisysoak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/daisyglade/daisyglade/internal/net/daisylink"
)

const oddLimit = 500 * time.Millisecond

// callOddly makes calls that no server or operator makes, until ctx ends.
func callOddly(ctx context.Context, f *fleet, random *rand.Rand) {
	for ctx.Err() == nil {
		h := f.hosts()[random.IntN(len(f.hosts()))]
		ports := []int{controlPort, linkPort, metricsPort}
		if h.role == "entry" {
			ports = []int{frontPort, readyPort, linkPort, metricsPort}
		}
		port := ports[random.IntN(len(ports))]
		if random.IntN(2) == 0 {
			h, port = f.controls[random.IntN(controlHosts)], controlPort
		}
		sendBytes(ctx, h.address(port), oddBytes(port, f.network, random))
		select {
		case <-time.After(time.Duration(20+random.IntN(150)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// sendBytes sends bytes and reads what comes back.
func sendBytes(ctx context.Context, address string, b []byte) {
	ctx, cancel := context.WithTimeout(ctx, oddLimit)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	if _, err := conn.Write(b); err != nil {
		return
	}
	_, _ = conn.Read(make([]byte, 512))
}

// oddBytes returns an odd call for the port.
func oddBytes(port int, network string, random *rand.Rand) []byte {
	noise := make([]byte, 1+random.IntN(3000))
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	if port == linkPort {
		paths := []daisylink.Path{daisylink.PathLog, daisylink.PathHeartbeat, daisylink.PathStatement, "/"}
		call := "GET " + string(paths[random.IntN(len(paths))]) + " HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
		if length := len(noise) &^ 0xff; length > 0 && random.IntN(2) == 0 {
			// A binary message, masked with zeros.
			call += string([]byte{0x82, 0xfe, byte(length >> 8), 0, 0, 0, 0, 0})
		}
		return append([]byte(call), noise...)
	}
	if port != controlPort || random.IntN(8) == 0 {
		return append([]byte([]string{"", "GET /metrics HTTP/1.1\r\nX: ", "STARTUP ", "QUERY 1 STORE "}[random.IntN(4)]), noise...)
	}
	body := oddBody(network, string(noise), random)
	length := len(body) + []int{0, 0, 0, 40}[random.IntN(4)] // With some, the body is cut.
	return fmt.Appendf(nil, "%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", oddCall(string(noise[:min(len(noise), 40)]), random), length, body)
}

func oddCall(noise string, random *rand.Rand) string {
	ids := []string{"%FF%FE", "i-%00", url.PathEscape(noise), strings.Repeat("x", 3000), "%2e%2e", "%E2%80%AE", "i-9", "%ED%A0%80"}
	id := ids[random.IntN(len(ids))]
	calls := []string{"PUT /instances/", "PUT /instances/", "PUT /instances/", "DELETE /instances/", "POST /evacuations/", "DELETE /evacuations/"}
	if random.IntN(5) == 0 {
		return []string{"PUT", "GET", "POST"}[random.IntN(3)] + " /config"
	}
	return calls[random.IntN(len(calls))] + id
}

// oddBody returns a body of JSON that is not quite an announcement or a desired state.
func oddBody(network, noise string, random *rand.Rand) string {
	texts := []string{
		`"other"`, `""`, `null`, `7`, `"\ud800"`, `"` + "\xff\xfe" + `"`, `"\u0000"`, `"` + strings.Repeat("z", 1024) + `"`,
		`"` + strings.Repeat("z", 2000) + `"`, `{"a":{}}`, `[]`, `true`,
	}
	numbers := []string{`1`, `0`, `-1`, `1e400`, `-1e300`, `9007199254740991`, `18446744073709551615`, `9223372036854775807`, `"1"`, `null`, `0.5`, `1048576`}
	addresses := []string{`"` + network + `.41:9"`, `"[::1]:9"`, `"[fe80::1%lo]:9"`, `"0.0.0.0:9"`, `"[::ffff:127.0.0.1]:9"`, `"x"`, `"255.255.255.255:65535"`}
	text := func() string { return texts[random.IntN(len(texts))] }
	number := func() string { return numbers[random.IntN(len(numbers))] }
	switch random.IntN(10) {
	case 0:
		return strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	case 1:
		return `{"service":` + strings.Repeat(`{"a":`, 5000) + "1" + strings.Repeat("}", 5001)
	case 2:
		return noise
	case 3:
		return `{"version":` + number() + `,"routes":[{"name":` + text() + `,"host":` + text() + `}],"services":null,"limits":` + text() + `}`
	case 4:
		return `{"service":"` + strings.Repeat("y", 70000) + `"}`
	}
	role := []string{`"replica"`, `"primary"`, text()}[random.IntN(3)]
	return fmt.Sprintf(`{"service":"other%d","address":%s,"zone":%s,"version":%s,"capacity":%s,"state":"ready","coldLeftMs":%s,"dbRole":%s,"sequence":%d,"born":%s}`,
		random.IntN(3), addresses[random.IntN(len(addresses))], text(), text(), number(), number(), role, random.IntN(100000), number())
}
