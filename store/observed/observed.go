// Package observed wraps a store and reports when it stops or starts to answer.
//
// # Usage
//
//	store := observed.New(client.New(url), func(available bool) { ... })
//
// The function is called at each change, on the goroutine of the call that found it.
package observed

import (
	"context"
	"errors"
	"sync/atomic"

	"berylpass/store/object"
)

// Inner is the platform's object API; package object describes the methods.
type Inner interface {
	Get(ctx context.Context, key string) (object.Object, error)
	List(ctx context.Context, prefix string) ([]object.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
	Watch(ctx context.Context, prefix string, after uint64) ([]object.Object, uint64, error)
}

// Store is a store whose changes of availability are reported to a function. It is
// safe for concurrent use if the wrapped store is.
type Store struct {
	store       Inner
	onChange    func(available bool)
	unavailable atomic.Bool
}

// New returns a store that calls changed at each change of availability. The store
// counts as available until a call fails.
func New(store Inner, changed func(available bool)) *Store {
	return &Store{store: store, onChange: changed}
}

// Get implements Inner.
func (s *Store) Get(ctx context.Context, key string) (object.Object, error) {
	got, err := s.store.Get(ctx, key)
	s.Record(ctx, err)
	return got, err
}

// List implements Inner.
func (s *Store) List(ctx context.Context, prefix string) ([]object.Object, error) {
	got, err := s.store.List(ctx, prefix)
	s.Record(ctx, err)
	return got, err
}

// Put implements Inner.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error) {
	got, err := s.store.Put(ctx, key, value, ifVersion)
	s.Record(ctx, err)
	return got, err
}

// Delete implements Inner.
func (s *Store) Delete(ctx context.Context, key string, ifVersion uint64) error {
	err := s.store.Delete(ctx, key, ifVersion)
	s.Record(ctx, err)
	return err
}

// Watch implements Inner.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]object.Object, uint64, error) {
	got, version, err := s.store.Watch(ctx, prefix, after)
	s.Record(ctx, err)
	return got, version, err
}

// Record records the error of a call, nil for success, and reports a change. It ignores
// the error of a call whose context has ended, since that says nothing about the store.
func (s *Store) Record(ctx context.Context, err error) {
	failed := errors.Is(err, object.ErrUnavailable) || errors.Is(err, object.ErrUnknown)
	if ctx.Err() != nil && err != nil {
		return
	}
	if s.unavailable.CompareAndSwap(!failed, failed) {
		s.onChange(!failed)
	}
}
