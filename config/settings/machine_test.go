package settings

import "testing"

// TestPlaceholdersCountAsNotGiven checks the keys of what the VM grants, which a deployment may not fill.
func TestPlaceholdersCountAsNotGiven(t *testing.T) {
	for text, want := range map[string]int64{"284MiB": 284 << 20, "MiB": 0, "": 0, "{{limits.memory_mb}}MiB": 0} {
		var s Settings
		if !memoryField.Set(&s, text) || s.Limits.Memory != want {
			t.Errorf("%q: got %d bytes, want %d", text, s.Limits.Memory, want)
		}
	}
	var s Settings
	for _, text := range []string{"1MiB", "284", "much"} {
		if memoryField.Set(&s, text) {
			t.Errorf("%q is allowed", text)
		}
	}
	if !descriptorsField.Set(&s, "{{limits.max_fds}}") || !descriptorsField.Set(&s, "4100") || s.Limits.Descriptors != 4100 {
		t.Errorf("got %d descriptors", s.Limits.Descriptors)
	}
}
