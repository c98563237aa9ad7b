package settings

import (
	"strings"

	"berylpass/config/field"
)

// Smallest values of the keys that say what the VM grants the daemon.
const (
	minMemory      = 64 << 20
	minDescriptors = 256
)

var memoryField = unfilledAllowed(field.Size("memory", minMemory, 1<<40, func(s *Settings) *int64 { return &s.Limits.Memory })).
	WithMeaning("Memory that the daemon may use. It keeps requests and answers within it; without it, 256 MiB or half of the VM's memory, whichever is less.")

var descriptorsField = unfilledAllowed(field.Integer("descriptors", minDescriptors, 1000000, func(s *Settings) *int { return &s.Limits.Descriptors })).
	WithMeaning("File descriptors that the daemon may use; without it, the process's limit. Callers' connections take at most three quarters of them.")

// unfilledAllowed returns f with a Set that ignores an empty value and one with a placeholder
// that the deployment has not filled.
func unfilledAllowed(f field.Field[Settings]) field.Field[Settings] {
	set := f.Set
	f.Set = func(target *Settings, text string) bool {
		return strings.Trim(text, "MiB") == "" || strings.Contains(text, "{{") || set(target, text)
	}
	return f
}
