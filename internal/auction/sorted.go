package auction

import "sort"

// sortedIDs keeps the order of decisions the same for the same events.
func sortedIDs(tickets map[string]*ticket) []string {
	if len(tickets) == 0 {
		return nil
	}
	ids := make([]string, 0, len(tickets))
	for id := range tickets {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
