// Package room describes how much room one backend server has for requests of each level of urgency.
//
// A guard sends a Room with each answer, refusals included, in nine bytes. Ingresses judge from the rooms of several
// guards whether a service can answer a request in time; see choice/admission.
//
// # Usage
//
//	text, err := r.MarshalText() // twelve characters, fits in a header
//	err = r.UnmarshalText(text)  // errors.Is(err, room.ErrMalformed)
package room

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"time"

	"berylpass/choice/urgency"
)

// ErrMalformed reports that data is not an encoded Room.
var ErrMalformed = errors.New("malformed room")

const (
	// size is the length of an encoded Room in bytes.
	size = int(urgency.Count-urgency.Call) + int(urgency.Count-urgency.First)
	// stepsPerOctave is the number of encoded steps per doubling of a time: steps of 9%.
	stepsPerOctave = 8
)

// Room is what a guard knows of the room at one backend server.
type Room struct {
	// Waits are the expected waits of newcomers by level; that of urgency.Unranked is always zero.
	Waits [urgency.Count]time.Duration
	// Refused are the shares of the last second's newcomers by level, from 0 to 1, that were refused for a lack of
	// room; those of urgency.Unranked and urgency.Call are always zero.
	Refused [urgency.Count]float64
}

// MarshalBinary encodes the room. Times are rounded to steps of 9%, and those below a millisecond to zero.
func (r Room) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, size)
	for l := urgency.Call; l < urgency.Count; l++ {
		data = append(data, pack(r.Waits[l]))
	}
	for l := urgency.First; l < urgency.Count; l++ {
		data = append(data, byte(math.Round(min(max(r.Refused[l], 0), 1)*math.MaxUint8)))
	}
	return data, nil
}

// UnmarshalBinary decodes a room encoded by MarshalBinary. Its error wraps ErrMalformed.
func (r *Room) UnmarshalBinary(data []byte) error {
	if len(data) != size {
		return fmt.Errorf("%w: %d bytes, want %d", ErrMalformed, len(data), size)
	}
	*r = Room{}
	for l := urgency.Call; l < urgency.Count; l++ {
		r.Waits[l] = unpack(data[l-urgency.Call])
	}
	shares := data[urgency.Count-urgency.Call:]
	for l := urgency.First; l < urgency.Count; l++ {
		r.Refused[l] = float64(shares[l-urgency.First]) / math.MaxUint8
	}
	return nil
}

// MarshalText returns the binary encoding of the room in unpadded URL-safe base64.
func (r Room) MarshalText() ([]byte, error) {
	data, err := r.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return base64.RawURLEncoding.AppendEncode(nil, data), nil
}

// UnmarshalText decodes a room encoded by MarshalText. Its error wraps ErrMalformed.
func (r *Room) UnmarshalText(text []byte) error {
	if len(text) > base64.RawURLEncoding.EncodedLen(size) {
		return fmt.Errorf("%w: %d characters", ErrMalformed, len(text))
	}
	data, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return r.UnmarshalBinary(data)
}

// pack encodes a time in one byte on a logarithmic scale.
func pack(d time.Duration) byte {
	ms := float64(d) / float64(time.Millisecond)
	if ms < 1 {
		return 0
	}
	return byte(min(math.Round(math.Log2(ms)*stepsPerOctave)+1, math.MaxUint8))
}

// unpack is the inverse of pack except for rounding.
func unpack(b byte) time.Duration {
	if b == 0 {
		return 0
	}
	return time.Duration(math.Exp2(float64(b-1)/stepsPerOctave) * float64(time.Millisecond))
}
