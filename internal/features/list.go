package features

import "sort"

// List is a sorted set of flags: what a build supports, or what is enabled.
type List []Flag

// Supported is this build's list, less the flags that are withheld by a test
// setting so that an older release can be run beside a newer one.
func Supported(withheld List) List {
	supported := List{}
	for _, description := range book {
		if !withheld.Has(description.Name) {
			supported = append(supported, description.Name)
		}
	}
	return supported
}

// Has tells whether the flag is in the list.
func (l List) Has(flag Flag) bool {
	for _, entry := range l {
		if entry == flag {
			return true
		}
	}
	return false
}

// Lacks lists the wanted flags that are not in the list.
func (l List) Lacks(wanted List) List {
	var lacking List
	for _, flag := range wanted {
		if !l.Has(flag) {
			lacking = append(lacking, flag)
		}
	}
	return lacking
}

// With is a new list that has the flags as well.
func (l List) With(flags ...Flag) List {
	joined := append(List(nil), l...)
	for _, flag := range flags {
		if !joined.Has(flag) {
			joined = append(joined, flag)
		}
	}
	sort.Slice(joined, func(left, right int) bool { return joined[left] < joined[right] })
	return joined
}
