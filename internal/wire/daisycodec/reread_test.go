package daisycodec_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/daisyglade/daisyglade/internal/domain/daisyfleet"
	"github.com/daisyglade/daisyglade/internal/domain/daisyheartbeat"
	"github.com/daisyglade/daisyglade/internal/wire/daisycodec"
)

func TestReread(t *testing.T) {
	want := change()
	got, err := daisycodec.Reread(want)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want, cmpAddr)
}

// Guards against names in a heartbeat that can be no part of the control state: a leader
// proposed each again and again.
func TestNamesOfHostsAreBounded(t *testing.T) {
	for _, h := range []daisyheartbeat.Heartbeat{{}, {Host: strings.Repeat("h", 1<<20)}, {Host: "h", FailureDomain: strings.Repeat("f", 1<<20)}} {
		h.Address = addr
		_, err := daisycodec.DecodeClientMessage(daisycodec.EncodeHeartbeat(h))
		assert.Check(t, err != nil)
	}
}

// BenchmarkReread is what a leader does once more for each change.
func BenchmarkReread(b *testing.B) {
	for _, size := range []int{100, 100 << 10, 8 << 20} {
		b.Run(fmt.Sprint("Bytes=", size), func(b *testing.B) {
			content := make([]byte, size)
			_, _ = rand.NewChaCha8([32]byte{1}).Read(content)
			id := daisyfleet.ID{Kind: daisyfleet.KindDocument, Name: daisyfleet.DocumentName}
			c := daisyfleet.Change{Operations: []daisyfleet.Operation{{ID: id, Value: daisyfleet.Document{Version: 1, Content: string(content)}}}}
			b.ReportAllocs()
			for b.Loop() {
				_, err := daisycodec.Reread(c)
				assert.NilError(b, err)
			}
		})
	}
}
