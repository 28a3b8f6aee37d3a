package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/bits"
	"math/rand/v2"
)

// playShape has two sessions of a tenant prepare different statements under one name. The
// rule is that each executes the shape that it has prepared.
func playShape(ctx context.Context, f *fleet, trouble bool) error {
	const rounds = 5
	for n := range rounds {
		first, second := randomShape(), randomShape()
		if trouble {
			first, second = collidingShapes("w")
		}
		if err := f.executeBoth(ctx, n, first, second); err != nil {
			return err
		}
	}
	return nil
}

// executeBoth has two sessions in turn prepare and execute a write.
func (f *fleet) executeBoth(ctx context.Context, n int, shapes ...string) error {
	for i, shape := range shapes {
		s, err := f.open(ctx, fmt.Sprintf("session %d/%d", n+1, i+1), 0, strictDatabase)
		if err != nil {
			return err
		}
		if _, err := s.must("PARSE s1 STORE " + shape); err != nil {
			return err
		}
		a, err := s.must(fmt.Sprintf("EXECUTE s1 item%d data%d", n, i))
		s.close()
		if err != nil {
			return err
		}
		r, ok := f.groups[0].ranAs(a.id)
		if !ok {
			return fmt.Errorf("no member ran %s", a.id)
		}
		f.record.note("%s ran %s %s on connection %s with the shape %q; the client had prepared %q", r.member, r.id, r.text, r.conn, r.shape, shape)
		if r.shape != shape {
			f.record.breach("the prepared name s1 of %s ran the shape %q in place of %q", s.name, r.shape, shape)
		}
	}
	return nil
}

const (
	shapeBytes = 15
	letters    = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

func randomText(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return string(b)
}

func randomShape() string { return randomText(shapeBytes) }

// The constants of XXH64.
const (
	prime1 uint64 = 11400714785074694791
	prime2 uint64 = 14029467366897019727
	prime4 uint64 = 9650029242287828579
	prime5 uint64 = 2870177450012600261
)

// collidingShapes returns two shapes of letters and digits whose XXH64 hashes are equal
// after the prefix of one byte.
func collidingShapes(prefix string) (first, second string) {
	const lane = 8
	for {
		a, b := prefix+randomText(2*lane-1), prefix+randomText(lane-1)
		ha, hb := afterLane(a[:lane]), afterLane(b)
		if a[:lane] == b {
			continue
		}
		last := make([]byte, lane)
		binary.LittleEndian.PutUint64(last, unmix(mix(binary.LittleEndian.Uint64([]byte(a[lane:])))^ha^hb))
		if isText(last) {
			return a[1:], (b + string(last))[1:]
		}
	}
}

// afterLane returns the state of the hash of 16 bytes after the first 8.
func afterLane(text string) uint64 {
	const length = 16
	h := prime5
	h += length
	h ^= mix(binary.LittleEndian.Uint64([]byte(text)))
	return bits.RotateLeft64(h, 27)*prime1 + prime4
}

func mix(lane uint64) uint64 { return bits.RotateLeft64(lane*prime2, 31) * prime1 }

// unmix is the inverse of mix.
func unmix(h uint64) uint64 { return bits.RotateLeft64(h*inverse(prime1), -31) * inverse(prime2) }

// inverse returns the inverse of an odd number modulo 2^64.
func inverse(n uint64) uint64 {
	x := n
	for range 6 {
		x *= 2 - n*x
	}
	return x
}

func isText(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' && c < 'A' || c > 'Z' && c < 'a' || c > 'z' {
			return false
		}
	}
	return true
}
