package archive

import (
	"context"
	"slices"
	"strings"

	"berylpass/store/object"
)

// memory is a Store in memory that calls before at each call to inject faults.
type memory struct {
	objects map[string]object.Object
	version uint64
	// calls is the number of calls so far.
	calls int
	// before returns the error of a call, or nil, and whether a write takes effect
	// nevertheless.
	before func(call, key string) (err error, effective bool)
}

// newMemory returns an empty store without faults.
func newMemory() *memory {
	return &memory{objects: map[string]object.Object{}, before: func(string, string) (error, bool) { return nil, true }}
}

func (m *memory) Get(_ context.Context, key string) (object.Object, error) {
	m.calls++
	if err, _ := m.before("get", key); err != nil {
		return object.Object{}, err
	}
	o, ok := m.objects[key]
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	return o, nil
}

func (m *memory) List(_ context.Context, prefix string) ([]object.Object, error) {
	m.calls++
	if err, _ := m.before("list", prefix); err != nil {
		return nil, err
	}
	var found []object.Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b object.Object) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

func (m *memory) Put(_ context.Context, key string, value []byte, ifVersion uint64) (object.Object, error) {
	m.calls++
	err, effective := m.before("put", key)
	if err != nil && !effective {
		return object.Object{}, err
	}
	if m.objects[key].Version != ifVersion {
		if err != nil {
			return object.Object{}, err
		}
		return object.Object{}, object.ErrConflict
	}
	m.version++
	o := object.Object{Key: key, Version: m.version, Value: slices.Clone(value)}
	m.objects[key] = o
	return o, err
}

func (m *memory) Delete(_ context.Context, key string, ifVersion uint64) error {
	m.calls++
	err, effective := m.before("delete", key)
	if err != nil && !effective {
		return err
	}
	if o, ok := m.objects[key]; ok && o.Version == ifVersion {
		delete(m.objects, key)
	} else if err == nil {
		return object.ErrConflict
	}
	return err
}
