package mesh

import (
	"errors"
	"fmt"
	"net/rpc"
	"runtime/debug"
	"strings"
)

// ErrPanicked begins the error of a call whose method panicked.
var ErrPanicked = errors.New("call panicked")

// Recover turns the panic of a method that serves calls into its error. Each such method defers it: net/rpc runs methods
// in goroutines of its own, so that a panic over one message would end the process.
func Recover(err *error) {
	if value := recover(); value != nil {
		*err = fmt.Errorf("%w: %v\n%s", ErrPanicked, value, debug.Stack())
	}
}

// panicCodec reports calls that panicked and keeps the stack from the caller.
type panicCodec struct {
	rpc.ServerCodec
	onPanic func(method, stack string)
}

func (c panicCodec) WriteResponse(r *rpc.Response, body any) error {
	if strings.HasPrefix(r.Error, ErrPanicked.Error()) {
		c.onPanic(r.ServiceMethod, r.Error)
		r.Error = ErrPanicked.Error()
	}
	return c.ServerCodec.WriteResponse(r, body)
}
