package replica

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/verbenastep/verbenastep/internal/wal"
)

var errCrashed = errors.New("the fake disk has lost power")

// inode is a file's content: what is synced, and what is only written.
type inode struct {
	synced  []byte
	written []byte
}

// fakeDisk keeps files in memory and forgets, at a crash, a random part of
// what was not synced.
type fakeDisk struct {
	random *rand.Rand
	// names is what the process sees; durable what is on the disk, changes
	// what leads from there to names.
	names   map[string]*inode
	durable map[string]*inode
	changes []func(map[string]*inode)
	// crashIn counts down to a crash in the middle of an operation; zero means
	// none.
	crashIn int
	crashed bool
	// lies makes Sync of an appended file return without syncing.
	lies bool
}

func newFakeDisk(random *rand.Rand) *fakeDisk {
	return &fakeDisk{random: random, names: map[string]*inode{}, durable: map[string]*inode{}}
}

// step counts one operation and tells whether the power fails during it.
func (d *fakeDisk) step() bool {
	if d.crashIn > 0 {
		d.crashIn--
		d.crashed = d.crashed || d.crashIn == 0
	}
	return d.crashed
}

func (d *fakeDisk) change(f func(map[string]*inode)) {
	f(d.names)
	d.changes = append(d.changes, f)
}

// crash forgets what is not durable and turns the power on again.
func (d *fakeDisk) crash() {
	for _, f := range d.changes[:d.random.IntN(len(d.changes)+1)] {
		f(d.durable)
	}
	d.changes = nil
	d.names = map[string]*inode{}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		n := d.durable[name]
		kept := n.written[:d.random.IntN(len(n.written)+1)]
		if d.lies {
			kept = nil
		}
		if len(kept) > 0 && d.random.IntN(2) == 0 {
			kept = append([]byte{}, kept...)
			kept[d.random.IntN(len(kept))] ^= 0x55
		}
		fresh := &inode{synced: append(append([]byte{}, n.synced...), kept...)}
		d.durable[name] = fresh
		d.names[name] = fresh
	}
	d.crashed = false
	d.crashIn = 0
}

func (d *fakeDisk) Path(name string) string { return "fake/" + name }

func (d *fakeDisk) Lock() (func() error, error) { return func() error { return nil }, nil }

func (d *fakeDisk) List() ([]string, error) {
	out := []string{}
	for n := range d.names {
		out = append(out, n)
	}
	sort.Strings(out)
	return out, nil
}

func (d *fakeDisk) Create(name string) (wal.File, error) {
	if d.step() {
		return nil, errCrashed
	}
	n := &inode{}
	d.change(func(m map[string]*inode) { m[name] = n })
	return &fakeFile{disk: d, inode: n}, nil
}

func (d *fakeDisk) Append(name string) (wal.File, error) {
	return &fakeFile{disk: d, inode: d.names[name], lies: d.lies}, nil
}

func (d *fakeDisk) Read(name string) ([]byte, error) {
	n := d.names[name]
	return append(append([]byte{}, n.synced...), n.written...), nil
}

func (d *fakeDisk) ReadAt(name string, offset int64, size int) ([]byte, error) {
	if d.names[name] == nil {
		return nil, errors.New("no such file")
	}
	b, _ := d.Read(name)
	if offset+int64(size) > int64(len(b)) {
		return nil, errors.New("the file is shorter")
	}
	return b[offset : offset+int64(size)], nil
}

func (d *fakeDisk) Rename(from, to string) error {
	if d.step() {
		return errCrashed
	}
	n := d.names[from]
	d.change(func(m map[string]*inode) {
		delete(m, from)
		m[to] = n
	})
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	d.change(func(m map[string]*inode) { delete(m, name) })
	return nil
}

func (d *fakeDisk) SyncFolder() error {
	if d.step() {
		return errCrashed
	}
	for _, f := range d.changes {
		f(d.durable)
	}
	d.changes = nil
	return nil
}

type fakeFile struct {
	disk  *fakeDisk
	inode *inode
	lies  bool
}

func (f *fakeFile) Write(b []byte) (int, error) {
	f.inode.written = append(f.inode.written, b...)
	if f.disk.step() {
		return 0, errCrashed
	}
	return len(b), nil
}

func (f *fakeFile) Sync() error {
	if f.disk.step() {
		return errCrashed
	}
	if f.lies {
		return nil
	}
	f.inode.synced = append(f.inode.synced, f.inode.written...)
	f.inode.written = nil
	return nil
}

func (f *fakeFile) Close() error { return nil }
