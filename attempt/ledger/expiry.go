package ledger

// byExpiry is a heap of entries, the first to be forgotten on top.
type byExpiry []*entry

// Len implements heap.Interface.
func (b byExpiry) Len() int { return len(b) }

// Less implements heap.Interface.
func (b byExpiry) Less(i, j int) bool { return b[i].until < b[j].until }

// Swap implements heap.Interface.
func (b byExpiry) Swap(i, j int) { b[i], b[j] = b[j], b[i] }

// Push implements heap.Interface.
func (b *byExpiry) Push(x any) { *b = append(*b, x.(*entry)) }

// Pop implements heap.Interface.
func (b *byExpiry) Pop() any {
	old := *b
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*b = old[:len(old)-1]
	return last
}
