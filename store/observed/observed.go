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

// Store is the platform's object API; package object describes the methods.
type Store interface {
	Get(ctx context.Context, key string) (object.Object, error)
	List(ctx context.Context, prefix string) ([]object.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error)
	Delete(ctx context.Context, key string, ifVersion uint64) error
	Watch(ctx context.Context, prefix string, after uint64) ([]object.Object, uint64, error)
}

// Observed is a store whose changes of availability are reported to a function. It is
// safe for concurrent use if the wrapped store is.
type Observed struct {
	store       Store
	onChange    func(available bool)
	unavailable atomic.Bool
}

// New returns a store that calls changed at each change of availability. The store
// counts as available until a call fails.
func New(store Store, changed func(available bool)) *Observed {
	return &Observed{store: store, onChange: changed}
}

// Get implements Store.
func (o *Observed) Get(ctx context.Context, key string) (object.Object, error) {
	got, err := o.store.Get(ctx, key)
	o.Note(ctx, err)
	return got, err
}

// List implements Store.
func (o *Observed) List(ctx context.Context, prefix string) ([]object.Object, error) {
	got, err := o.store.List(ctx, prefix)
	o.Note(ctx, err)
	return got, err
}

// Put implements Store.
func (o *Observed) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (object.Object, error) {
	got, err := o.store.Put(ctx, key, value, ifVersion)
	o.Note(ctx, err)
	return got, err
}

// Delete implements Store.
func (o *Observed) Delete(ctx context.Context, key string, ifVersion uint64) error {
	err := o.store.Delete(ctx, key, ifVersion)
	o.Note(ctx, err)
	return err
}

// Watch implements Store.
func (o *Observed) Watch(ctx context.Context, prefix string, after uint64) ([]object.Object, uint64, error) {
	got, version, err := o.store.Watch(ctx, prefix, after)
	o.Note(ctx, err)
	return got, version, err
}

// Note records the error of a call, nil for success, and reports a change. It ignores
// the error of a call whose context has ended, since that says nothing about the store.
func (o *Observed) Note(ctx context.Context, err error) {
	failed := errors.Is(err, object.ErrUnavailable) || errors.Is(err, object.ErrUnknown)
	if ctx.Err() != nil && err != nil {
		return
	}
	if o.unavailable.CompareAndSwap(!failed, failed) {
		o.onChange(!failed)
	}
}
