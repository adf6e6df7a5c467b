package api

// PathMap is where the caller listener of a node serves the PublicMap.
const PathMap = "/v1/map"

// HeaderMapVersion carries the map version of the answering node to callers.
const HeaderMapVersion = HeaderPrefix + "Map-Version"

// PublicMap is the part of the map that callers may see. Overrides of hot keys are left
// out, since they name keys of other organisations; such keys cost a caller one hop.
type PublicMap struct {
	Version uint64 `json:"version"`
	// Nodes are the caller addresses of the nodes, host:port.
	Nodes    []string        `json:"nodes"`
	Services []PublicService `json:"services"`
}

// PublicService describes one service to callers.
type PublicService struct {
	Name       string     `json:"name"`
	Key        *KeySource `json:"key,omitempty"`
	Partitions int        `json:"partitions,omitempty"`
	Routes     []Route    `json:"routes"`
	// Owners holds for each partition the index of its owner's node in Nodes, or -1.
	Owners []int `json:"owners,omitempty"`
}
