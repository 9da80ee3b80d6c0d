package capacity

// Dimension is what grows.
type Dimension string

// The dimensions. Claims are those of one drawer, Seats the expediters, Pieces those
// of one inquiry, Bytes those of one answer.
const (
	Nodes   Dimension = "nodes"
	Servers Dimension = "servers"
	Routes  Dimension = "routes"
	Tenants Dimension = "tenants"
	Models  Dimension = "models"
	Claims  Dimension = "claims"
	Seats   Dimension = "seats"
	Pieces  Dimension = "pieces"
	Bytes   Dimension = "bytes"
)

// The size of two years from now, and what stands still while another grows.
var (
	// Future is the largest size of each dimension.
	Future = map[Dimension]int{Nodes: 330, Servers: 1100, Routes: 8000, Tenants: 630, Models: 18, Claims: 4000, Seats: 6, Pieces: 351, Bytes: 240_000}
	// Base is the size of each dimension that is not varied.
	Base = map[Dimension]int{Nodes: 30, Servers: 100, Routes: 100, Tenants: 10, Models: 6, Claims: 100, Seats: 3, Pieces: 20, Bytes: 600}
)

// Sizes are those at which a dimension is measured.
var Sizes = map[Dimension][]int{Nodes: {10, 30, 100, 330}, Servers: {9, 100, 300, 1100}, Routes: {10, 100, 1000, 8000}, Tenants: {1, 10, 100, 630},
	Models: {1, 6, 18}, Claims: {10, 100, 1000, 4000}, Seats: {3, 4, 5, 6}, Pieces: {20, 100, 351}, Bytes: {600, 6000, 60_000, 240_000}}
