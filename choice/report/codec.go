package report

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"berylpass/choice/breaker"
)

// ErrMalformed reports that data is not an encoded report.
var ErrMalformed = errors.New("malformed report")

const (
	// size is the length of an encoded report in bytes.
	size = 20
	// stepsPerOctave is the number of encoded steps per doubling of a duration or sample count: steps of 9%.
	stepsPerOctave = 8
	// spreadSteps is the number of encoded steps per unit of spread.
	spreadSteps = 50
	// evidenceSteps is the number of encoded steps per nat of evidence.
	evidenceSteps = 4
)

// MarshalBinary encodes the report in 20 bytes. Durations and sample counts are rounded to steps of 9%, so by at
// most 4.5%; counts of requests are limited to 255.
func (r Report) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, size)
	data = append(data, packCount(r.InUse), packCount(r.Queued), packCount(r.Limit), packCount(r.Slots))
	for _, l := range r.Levels {
		data = append(data, packLog(float64(l.Time.Microseconds())), packStep(l.Spread, spreadSteps), packLog(l.Samples))
	}
	data = append(data, packStep(r.Errors, evidenceSteps), packStep(r.Slowness, evidenceSteps), packLog(float64(r.StalledFor.Milliseconds())))
	data = binary.BigEndian.AppendUint16(data, r.Completed)
	return append(data, byte(r.Breaker), packStep(r.BreakerScore, evidenceSteps)), nil
}

// UnmarshalBinary decodes a report encoded by MarshalBinary. Its error wraps ErrMalformed.
func (r *Report) UnmarshalBinary(data []byte) error {
	if len(data) != size {
		return fmt.Errorf("%w: %d bytes, want %d", ErrMalformed, len(data), size)
	}
	*r = Report{InUse: int(data[0]), Queued: int(data[1]), Limit: int(data[2]), Slots: int(data[3])}
	at := 4
	for c := range r.Levels {
		r.Levels[c] = Level{
			Time:    time.Duration(unpackLog(data[at]) * float64(time.Microsecond)),
			Spread:  float64(data[at+1]) / spreadSteps,
			Samples: unpackLog(data[at+2]),
		}
		at += 3
	}
	r.Errors = float64(data[at]) / evidenceSteps
	r.Slowness = float64(data[at+1]) / evidenceSteps
	r.StalledFor = time.Duration(unpackLog(data[at+2]) * float64(time.Millisecond))
	r.Completed = binary.BigEndian.Uint16(data[at+3:])
	r.Breaker = breaker.State(data[at+5])
	r.BreakerScore = float64(data[at+6]) / evidenceSteps
	return nil
}

// MarshalText returns the binary encoding of the report in unpadded URL-safe base64.
func (r Report) MarshalText() ([]byte, error) {
	data, err := r.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return base64.RawURLEncoding.AppendEncode(nil, data), nil
}

// UnmarshalText decodes a report encoded by MarshalText. Its error wraps ErrMalformed.
func (r *Report) UnmarshalText(text []byte) error {
	if len(text) > base64.RawURLEncoding.EncodedLen(size) {
		return fmt.Errorf("%w: %d characters", ErrMalformed, len(text))
	}
	data, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return r.UnmarshalBinary(data)
}

// packCount encodes n in one byte and clamps it to the range of a byte.
func packCount(n int) byte { return byte(min(max(n, 0), math.MaxUint8)) }

// packStep encodes x in one byte, in steps of 1/steps, and clamps it to the range of a byte.
func packStep(x float64, steps float64) byte {
	return byte(min(max(math.Round(x*steps), 0), math.MaxUint8))
}

// packLog encodes x in one byte on a logarithmic scale; values of zero and less give zero.
func packLog(x float64) byte {
	if x <= 0 {
		return 0
	}
	return byte(min(max(math.Round(math.Log2(x)*stepsPerOctave)+1, 1), math.MaxUint8))
}

// unpackLog is the inverse of packLog except for rounding.
func unpackLog(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2(float64(b-1) / stepsPerOctave)
}
