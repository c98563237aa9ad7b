// Package window computes exponentially weighted means and standard deviations of a stream of values.
//
// # Usage
//
//	w := window.New(2 * time.Second)
//	w.Add(now, x)
//	if w.Samples(now) >= 8 { use(w.Mean(), w.Spread()) }
package window

import (
	"math"
	"time"
)

// minWeight is the sum of weights below which a window counts as empty.
const minWeight = 0.5

// Window is a weighted sample of recent values. Copies are independent. It is not safe for concurrent use.
type Window struct {
	// span is the time constant of the weights.
	span      time.Duration
	decayedAt time.Time
	// weight and squares are the sums of the weights and of their squares.
	weight, squares float64
	// sum and sumSquares are the weighted sums of the values and of their squares.
	sum, sumSquares float64
}

// New returns an empty Window in which the weight of a value falls by a factor of e in each span.
func New(span time.Duration) Window { return Window{span: span} }

// WithSpan returns a copy whose weights decay with another span from now on.
func (w Window) WithSpan(span time.Duration) Window {
	w.span = span
	return w
}

// Add adds the value x at the time now.
func (w *Window) Add(now time.Time, x float64) {
	w.decay(now)
	w.weight++
	w.squares++
	w.sum += x
	w.sumSquares += x * x
}

// Samples returns the effective number of values at the time now; zero if the window is empty.
func (w *Window) Samples(now time.Time) float64 {
	w.decay(now)
	if w.weight < minWeight {
		return 0
	}
	return w.weight * w.weight / w.squares
}

// Mean returns the weighted mean. It must not be called on an empty window.
func (w *Window) Mean() float64 { return w.sum / w.weight }

// Spread returns the weighted standard deviation. It must not be called on an empty window.
func (w *Window) Spread() float64 {
	m := w.Mean()
	return math.Sqrt(max(w.sumSquares/w.weight-m*m, 0))
}

// decay reduces the weights to those at the time now.
func (w *Window) decay(now time.Time) {
	age := now.Sub(w.decayedAt)
	if age <= 0 {
		return
	}
	w.decayedAt = now
	if w.weight == 0 {
		return
	}
	f := math.Exp(-float64(age) / float64(w.span))
	w.weight *= f
	w.squares *= f * f
	w.sum *= f
	w.sumSquares *= f
}
