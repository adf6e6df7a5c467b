package api

// Services is the parsed services file: every service and what it depends on.
type Services struct {
	Services []Service `json:"services"`
}

// Service describes one service behind the router.
type Service struct {
	Name string `json:"name"`
	// Key says where the owned key stands; nil for a service that is not divided by key.
	Key *KeySource `json:"key,omitempty"`
	// Partitions is the fixed number of partitions of a service divided by key. Default 64.
	Partitions int      `json:"partitions,omitempty"`
	Routes     []Route  `json:"routes"`
	DependsOn  []string `json:"depends_on,omitempty"`
	// DeadlineMs is the longest time for a request, in milliseconds. Default 10,000.
	DeadlineMs int `json:"deadline_ms,omitempty"`
	// TargetChoice names the plug-in that selects a target of an undivided service.
	TargetChoice string `json:"target_choice,omitempty"`
	// Placement names the placement policy of a service divided by key.
	Placement string `json:"placement,omitempty"`
}

// KeySource says where the owned key stands in a request. Exactly one field is set.
type KeySource struct {
	// PathSegment is the zero-based segment of the path: 1 for KEY in /quotes/KEY.
	PathSegment *int `json:"path_segment,omitempty"`
	// Header is the name of a request header.
	Header string `json:"header,omitempty"`
	// Query is the name of a query parameter.
	Query string `json:"query,omitempty"`
}

// Route maps requests to a service. Prefix matches whole path segments.
type Route struct {
	Prefix string `json:"prefix"`
	// Methods limits the route to these methods; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Open routes need no organisation key.
	Open bool `json:"open,omitempty"`
	// Idempotent requests may be repeated. Default: GET, HEAD, OPTIONS, PUT and DELETE are, others are not.
	Idempotent *bool `json:"idempotent,omitempty"`
}

// Divided says whether the service is divided by key.
func (s *Service) Divided() bool { return s.Key != nil }

// Find returns the service of that name, or nil.
func (s *Services) Find(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	return nil
}

// Organisation is a customer with a fleet-wide rate and burst.
type Organisation struct {
	ID OrganisationID `json:"id"`
	// Rate is in requests per second over all hosts.
	Rate float64 `json:"rate"`
	// Burst is the greatest number of requests admitted at once.
	Burst float64 `json:"burst"`
	// Weight is the share in fair queueing. Default 1.
	Weight float64 `json:"weight,omitempty"`
}

// OrganisationKey is a credential; only its digest is stored.
type OrganisationKey struct {
	ID           string         `json:"id"`
	Organisation OrganisationID `json:"organisation"`
	Digest       KeyDigest      `json:"digest"`
}
