package roster

// Server is a model server as the platform lists it.
type Server struct {
	Name     string `json:"name" msgpack:"name"`
	Address  string `json:"address" msgpack:"address"`
	District string `json:"district" msgpack:"district"`
	Leaving  bool   `json:"leaving" msgpack:"leaving"`
}
