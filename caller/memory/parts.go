package memory

// Parts is how the memory of a daemon is divided, in bytes.
type Parts struct {
	// Fixed is for the program, its state and the buffers of the event loops.
	Fixed int64
	// Connections is for open connections without a request.
	Connections int64
	// Heads is for heads of requests that haven't ended.
	Heads int64
	// Exchanges is for requests that have arrived and for their answers.
	Exchanges int64
	// Long is the part of Exchanges that reservations of more than ShortBytes may use.
	Long int64
	// Runtime is the limit for the language's runtime, which collects garbage to stay below it.
	Runtime int64
}

const (
	// fixedBytes is what a daemon of a large fleet takes without requests (docs/CAPACITY.md).
	fixedBytes = 48 << 20
	// programBytes is what a process has mapped beside the runtime's memory.
	programBytes = 32 << 20
	// ConnectionBytes is the memory of a connection without a request.
	ConnectionBytes = 4 << 10
	// ShortBytes is the largest reservation that may use the part kept free from longer ones.
	ShortBytes = 64 << 10
)

// Divide divides limit bytes of memory.
func Divide(limit int64) Parts {
	fixed := min(fixedBytes, limit/2)
	rest := limit - fixed
	// What Exchanges and Heads leave is room for garbage between two collections.
	exchanges := rest * 6 / 10
	return Parts{
		Fixed: fixed, Connections: limit / 16, Heads: rest / 10, Exchanges: exchanges, Long: exchanges * 9 / 10,
		Runtime: limit - min(programBytes, limit/4),
	}
}
