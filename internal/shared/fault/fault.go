// Package fault limits the effect of a panic to the connection whose goroutine panicked.
package fault

import (
	"fmt"
	"runtime/debug"

	"github.com/go-logr/logr"
)

// Error reports a recovered panic.
type Error struct{ Cause any }

func (e *Error) Error() string { return fmt.Sprintf("panic: %v", e.Cause) }

// Recover recovers a panic; it must be deferred directly. Only the function that defers it
// ends, such as the loop of one session, so that one message cannot end the sessions of
// all callers. It calls onPanic and logs the panic with its stack. scope names what ended.
func Recover(log logr.Logger, scope string, onPanic func()) {
	if cause := recover(); cause != nil {
		onPanic()
		log.Error(&Error{Cause: cause}, "recovered from a panic", "what", scope, "stack", string(debug.Stack()))
	}
}
