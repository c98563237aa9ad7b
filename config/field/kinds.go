package field

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// maxName is the largest length of a name in bytes.
const maxName = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// NameAllowed says which texts IsName accepts.
const NameAllowed = "a kebab-case name of at most 63 letters a-z, digits and hyphens"

// IsName reports whether text is a name: kebab case, at most 63 bytes.
func IsName(text string) bool { return len(text) <= maxName && namePattern.MatchString(text) }

// Of returns a field whose values parse reads. parse also reports whether a value is allowed,
// which the text allowed describes. to returns where in the target to store the value.
func Of[T, V any](key, allowed string, to func(*T) *V, parse func(string) (V, bool)) Field[T] {
	return Field[T]{Key: key, Allowed: allowed, Set: func(target *T, text string) bool {
		v, ok := parse(text)
		if ok {
			*to(target) = v
		}
		return ok
	}}
}

// Name returns a field for a name, as IsName accepts it.
func Name[T any](key string, to func(*T) *string) Field[T] {
	return Of(key, NameAllowed, to, func(text string) (string, bool) { return text, IsName(text) })
}

// Text returns a field for any text of 1 to limit bytes.
func Text[T any](key string, limit int, to func(*T) *string) Field[T] {
	return Of(key, fmt.Sprintf("text of 1 to %d bytes", limit), to, func(text string) (string, bool) {
		return text, text != "" && len(text) <= limit
	})
}

// Choice returns a field for one of the words.
func Choice[T any](key string, to func(*T) *string, words ...string) Field[T] {
	return Of(key, strings.Join(words, ", "), to, func(text string) (string, bool) {
		for _, w := range words {
			if w == text {
				return text, true
			}
		}
		return "", false
	})
}

// Flag returns a field for yes or no.
func Flag[T any](key string, to func(*T) *bool) Field[T] {
	return Of(key, "yes or no", to, func(text string) (bool, bool) {
		return text == "yes", text == "yes" || text == "no"
	})
}

// Integer returns a field for a whole number from low to high.
func Integer[T any](key string, low, high int, to func(*T) *int) Field[T] {
	return Of(key, fmt.Sprintf("a whole number from %d to %d", low, high), to, func(text string) (int, bool) {
		n, err := strconv.Atoi(text)
		return n, err == nil && n >= low && n <= high
	})
}

// Number returns a field for a number from low to high.
func Number[T any](key string, low, high float64, to func(*T) *float64) Field[T] {
	return Of(key, fmt.Sprintf("a number from %g to %g", low, high), to, func(text string) (float64, bool) {
		x, err := strconv.ParseFloat(text, 64)
		return x, err == nil && !math.IsNaN(x) && x >= low && x <= high
	})
}

// Duration returns a field for a duration from low to high with its unit, such as 1m30s.
func Duration[T any](key string, low, high time.Duration, to func(*T) *time.Duration) Field[T] {
	allowed := fmt.Sprintf("a duration with its unit (ms, s, m, h) from %s to %s", shorten(low), shorten(high))
	return Of(key, allowed, to, func(text string) (time.Duration, bool) {
		d, err := time.ParseDuration(text)
		return d, err == nil && d >= low && d <= high
	})
}

// shorten returns d without the zero units that Duration.String writes: 1h instead of 1h0m0s.
func shorten(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// sizeUnits are the units of sizes, largest first. B comes last because the others end in it.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Size returns a field for a size from low to high bytes with its unit, such as 32MiB.
func Size[T any](key string, low, high int64, to func(*T) *int64) Field[T] {
	allowed := fmt.Sprintf("a size with its unit (B, KiB, MiB, GiB) from %s to %s", formatSize(low), formatSize(high))
	return Of(key, allowed, to, func(text string) (int64, bool) {
		n, ok := parseSize(text)
		return n, ok && n >= low && n <= high
	})
}

// parseSize returns the number of bytes in text and reports whether text is a size.
func parseSize(text string) (int64, bool) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		return n * u.bytes, err == nil && n >= 0 && n <= math.MaxInt64/u.bytes
	}
	return 0, false
}

// formatSize returns n bytes in the largest unit that divides n.
func formatSize(n int64) string {
	for _, u := range sizeUnits {
		if n >= u.bytes && n%u.bytes == 0 {
			return fmt.Sprintf("%d%s", n/u.bytes, u.name)
		}
	}
	return fmt.Sprintf("%dB", n)
}

// Address returns a field for IP:port. accept reports whether an IP is allowed; the text
// allowed must describe that.
func Address[T any](key, allowed string, accept func(netip.Addr) bool, to func(*T) *string) Field[T] {
	return Of(key, allowed, to, func(text string) (string, bool) {
		a, err := netip.ParseAddrPort(text)
		return text, err == nil && accept(a.Addr())
	})
}

// List returns a field for values separated by commas. accept reports whether a value is
// allowed; the text allowed must describe that.
func List[T any](key, allowed string, accept func(string) bool, to func(*T) *[]string) Field[T] {
	return Of(key, allowed, to, func(text string) ([]string, bool) {
		var items []string
		for item := range strings.SplitSeq(text, ",") {
			item = strings.TrimSpace(item)
			if !accept(item) {
				return nil, false
			}
			items = append(items, item)
		}
		return items, true
	})
}

// Share returns a field for a number from 0 to 1.
func Share[T any](key string, to func(*T) *float64) Field[T] {
	return Of(key, "a number from 0 to 1", to, func(text string) (float64, bool) {
		share, err := strconv.ParseFloat(text, 64)
		return share, err == nil && share >= 0 && share <= 1
	})
}
