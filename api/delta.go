package api

// Changed returns the entries of to that from lacks or has otherwise, and whether an entry of from is
// missing in to.
func Changed[V comparable](from, to map[OrganisationID]V) (changed map[OrganisationID]V, gone bool) {
	kept := 0
	for id, v := range to {
		old, found := from[id]
		if found {
			kept++
		}
		if found && old == v {
			continue
		}
		if changed == nil {
			changed = make(map[OrganisationID]V)
		}
		changed[id] = v
	}
	return changed, kept < len(from)
}
