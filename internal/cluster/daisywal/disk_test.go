package daisywal

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"slices"
)

var (
	errFault = errors.New("operation failed")
	errEnded = errors.New("process has ended")
)

// event is what happens at a step, an operation that changes the disk.
type event string

const (
	nothing    event = ""
	fails      event = "a failed operation"
	ends       event = "an end of the process" // Another one follows.
	losesPower event = "a loss of power"       // The process ends, and what was not synced is kept or lost.
)

// disk is a file system in memory for a single folder. After a loss of power each
// write since the last sync of its file is present, missing or torn, and each name
// has any of the meanings that it had since the last sync of the folder.
type disk struct {
	random *rand.Rand
	files  map[string]*inode   // By path, as processes see them.
	past   map[string][]*inode // By path: what the name stood for since the last sync of the folder; nil if for nothing.
	steps  int
	events map[int]event // By step.
	ended  event         // How the process ended, or nothing.

	unreadable bool // Files cannot be read.
}

// inode is the content of a file.
type inode struct {
	content []byte // As processes see it.
	durable []byte
	changes []change // Made since the last sync.
}

// change is a write.
type change struct {
	offset int
	data   []byte
}

func newDisk(seed uint64, events map[int]event) *disk {
	return &disk{
		random: rand.New(rand.NewPCG(seed, seed)), events: events,
		files: make(map[string]*inode), past: make(map[string][]*inode),
	}
}

// newDiskOf returns a disk with a durable file.
func newDiskOf(content []byte) *disk {
	d := newDisk(1, nil)
	d.files[testPath] = &inode{content: slices.Clone(content), durable: slices.Clone(content)}
	d.past[testPath] = []*inode{d.files[testPath]}
	return d
}

// step counts an operation and carries it out unless an event prevents that. An
// event that ends the process does so before or after the operation.
func (d *disk) step(operate, fail func()) error {
	if d.ended != nothing {
		return errEnded
	}
	d.steps++
	switch e := d.events[d.steps]; e {
	case nothing:
		operate()
		return nil
	case fails:
		fail()
		return errFault
	default:
		if d.random.IntN(2) == 0 {
			operate()
		}
		d.ended = e
		return errEnded
	}
}

// restart lets another process use the disk if one has ended.
func (d *disk) restart() {
	if d.ended == losesPower {
		d.losePower()
	}
	d.ended = nothing
}

func (d *disk) losePower() {
	var inodes []*inode // Those with a name, in a fixed order.
	for _, path := range d.paths() {
		for _, i := range d.past[path] {
			if i != nil && !slices.Contains(inodes, i) {
				inodes = append(inodes, i)
			}
		}
	}
	allLost := d.random.IntN(4) == 0
	for _, i := range inodes {
		i.losePower(d.random, allLost)
	}
	for _, path := range d.paths() {
		past := d.past[path]
		kept := past[d.random.IntN(len(past))]
		d.past[path] = []*inode{kept}
		delete(d.files, path)
		if kept != nil {
			d.files[path] = kept
		}
	}
}

func (d *disk) paths() []string {
	var paths []string
	for path := range d.past {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	return paths
}

// name gives a file the path, or removes the path if i is nil.
func (d *disk) name(path string, i *inode) {
	if _, ok := d.past[path]; !ok {
		d.past[path] = []*inode{nil}
	}
	d.past[path] = append(d.past[path], i)
	delete(d.files, path)
	if i != nil {
		d.files[path] = i
	}
}

func (d *disk) readFile(path string) ([]byte, error) {
	if d.ended != nothing {
		return nil, errEnded
	}
	if d.unreadable {
		return nil, errFault
	}
	i, ok := d.files[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(i.content), nil
}

// readCloser reads the content that a file had when it was opened.
type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

func (d *disk) openFile(path string) (io.ReadSeekCloser, error) {
	content, err := d.readFile(path)
	if err != nil {
		return nil, err
	}
	return readCloser{bytes.NewReader(content)}, nil
}

func (d *disk) createFile(path string) (file, error) {
	if d.files[path] != nil {
		return nil, os.ErrExist
	}
	f := &openFile{disk: d, inode: &inode{}}
	return f, d.step(func() { d.name(path, f.inode) }, func() {})
}

func (d *disk) remove(path string) error {
	if d.ended == nothing && d.files[path] == nil {
		return os.ErrNotExist
	}
	return d.step(func() { d.name(path, nil) }, func() {})
}

func (d *disk) rename(from, to string) error {
	if d.ended == nothing && d.files[from] == nil {
		return os.ErrNotExist
	}
	operate := func() {
		d.name(to, d.files[from])
		d.name(from, nil)
	}
	return d.step(operate, func() {
		if d.random.IntN(2) == 0 {
			operate()
		}
	})
}

func (d *disk) syncFolder(string) error {
	return d.step(func() {
		for path := range d.past {
			d.past[path] = []*inode{d.files[path]}
		}
	}, func() {})
}

// openFile is an open file of a disk.
type openFile struct {
	disk   *disk
	inode  *inode
	offset int
}

func (f *openFile) change(c change) {
	f.inode.content = c.apply(f.inode.content)
	f.inode.changes = append(f.inode.changes, c)
}

func (f *openFile) Write(b []byte) (int, error) {
	written := 0
	write := func(n int) {
		f.change(change{offset: f.offset, data: slices.Clone(b[:n])})
		f.offset += n
		written = n
	}
	err := f.disk.step(func() { write(len(b)) }, func() { write(f.disk.random.IntN(len(b))) })
	return written, err
}

// Sync makes the changes durable. If it fails, some are lost for good, although
// processes go on to see them and the next Sync succeeds.
func (f *openFile) Sync() error {
	i := f.inode
	return f.disk.step(func() {
		for _, c := range i.changes {
			i.durable = c.apply(i.durable)
		}
		i.changes = nil
	}, func() { i.lose(f.disk.random, f.disk.random.IntN(2) == 0) })
}

func (f *openFile) Close() error { return nil }

// losePower leaves what may be left of the changes since the last sync.
func (i *inode) losePower(random *rand.Rand, all bool) {
	i.lose(random, all)
	i.content = slices.Clone(i.durable)
}

// lose makes some of the changes durable, or none, and forgets the others.
func (i *inode) lose(random *rand.Rand, all bool) {
	for _, c := range i.changes {
		if all {
			break
		}
		switch random.IntN(3) {
		case 0: // Missing.
		case 1:
			i.durable = c.apply(i.durable)
		default:
			i.durable = c.tear(i.durable, random)
		}
	}
	i.changes = nil
}

// apply returns the content with the change made.
func (c change) apply(content []byte) []byte {
	content = extend(content, c.offset+len(c.data))
	copy(content[c.offset:], c.data)
	return content
}

// tear returns the content with a part of the write made.
func (c change) tear(content []byte, random *rand.Rand) []byte {
	from, to := random.IntN(len(c.data)), random.IntN(len(c.data))
	switch random.IntN(3) {
	case 0: // The beginning.
		return change{c.offset, c.data[:to]}.apply(content)
	case 1: // The end.
		content = extend(content, c.offset+len(c.data))
		return change{c.offset + from, c.data[from:]}.apply(content)
	}
	content = extend(content, c.offset+len(c.data))
	sector := []int{512, 4096}[random.IntN(2)]
	for _, s := range sectors(c.offset, c.offset+len(c.data), sector) {
		if random.IntN(2) == 0 {
			content = change{s[0], c.data[s[0]-c.offset : s[1]-c.offset]}.apply(content)
		}
	}
	return content
}

// extend returns a copy of the content, with zeros at its end if it is shorter.
func extend(content []byte, length int) []byte {
	return append(slices.Clone(content), make([]byte, max(0, length-len(content)))...)
}

// sectors returns the parts of the range that lie in each of the disk's sectors.
func sectors(from, to, size int) [][2]int {
	var parts [][2]int
	for from < to {
		end := min(to, (from/size+1)*size)
		parts = append(parts, [2]int{from, end})
		from = end
	}
	return parts
}
