package membership

// Node is a node as the platform lists it.
type Node struct {
	Name    string   `json:"name"`
	Kind    NodeKind `json:"kind"`
	Address string   `json:"address"`
	Zone    string   `json:"district"`
}
