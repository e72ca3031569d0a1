package work

import (
	"slices"
	"sort"
)

// Range is a range of numbers from First up to, and without, End.
type Range struct {
	First int `cbor:"1,keyasint,omitempty"`
	End   int `cbor:"2,keyasint,omitempty"`
}

// Ranges is a set of numbers in ascending ranges that do not touch; the zero value is the empty set. Its size is that of its gaps.
type Ranges []Range

// Add adds a number.
func (r *Ranges) Add(number int) {
	list := *r
	i := list.after(number)
	joinsBefore := i > 0 && number <= list[i-1].End
	joinsAfter := i < len(list) && number+1 == list[i].First
	switch {
	case joinsBefore && number < list[i-1].End: // It is there already.
	case joinsBefore && joinsAfter:
		list[i-1].End = list[i].End
		*r = slices.Delete(list, i, i+1)
	case joinsBefore:
		list[i-1].End++
	case joinsAfter:
		list[i].First--
	default:
		*r = slices.Insert(list, i, Range{First: number, End: number + 1})
	}
}

// Has reports whether a number is in the set.
func (r Ranges) Has(number int) bool { return r.NextMissing(number) != number }

// NextMissing returns the least number from a number on that is not in the set.
func (r Ranges) NextMissing(number int) int {
	if i := r.after(number); i > 0 && number < r[i-1].End {
		return r[i-1].End
	}
	return number
}

// Len returns how many numbers are in the set.
func (r Ranges) Len() int {
	count := 0
	for _, part := range r {
		count += part.End - part.First
	}
	return count
}

// after returns the index of the first range that begins after a number.
func (r Ranges) after(number int) int {
	return sort.Search(len(r), func(i int) bool { return r[i].First > number })
}
