package auction

import "sort"

// sortedIDs keeps the order of decisions the same for the same events.
func sortedIDs(requests map[string]*requestState) []string {
	if len(requests) == 0 {
		return nil
	}
	ids := make([]string, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
