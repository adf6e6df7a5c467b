package api

import "strconv"

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
	Partitions int `json:"partitions,omitempty"`
	// Splits are the partitions of a ranged service that the control leader has divided because they
	// were busy, in ascending order of Base. Operators do not set them.
	Splits    []RangeSplit `json:"splits,omitempty"`
	Routes    []Route      `json:"routes"`
	DependsOn []string     `json:"depends_on,omitempty"`
	// DeadlineMs is the longest time for a request, in milliseconds. Default 10,000.
	DeadlineMs int `json:"deadline_ms,omitempty"`
	// TargetChoice names the plug-in that selects a target of an undivided service.
	TargetChoice string `json:"target_choice,omitempty"`
	// Placement names the placement policy of a service divided by key.
	Placement string `json:"placement,omitempty"`
	// ColdRate is the number of requests per second that a cold target bears; 0 means no such bound.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// GrantsByCall says that targets that heartbeat to their node get their grants by calls of the node,
	// not in the replies to their heartbeats.
	GrantsByCall bool `json:"grants_by_call,omitempty"`
}

// KeySource says where the owned key stands in a request. Exactly one field is set.
type KeySource struct {
	// PathSegment is the zero-based segment of the path: 1 for KEY in /quotes/KEY.
	PathSegment *int `json:"path_segment,omitempty"`
	// Header is the name of a request header.
	Header string `json:"header,omitempty"`
	// Query is the name of a query parameter.
	Query string `json:"query,omitempty"`
	// Span makes the key a number from 0 to Span-1: partitions are then ranges of numbers of
	// nearly equal length. 0 means that keys are texts, which are hashed.
	Span int `json:"span,omitempty"`
}

// KeyRange is a range of numeric keys, both ends included.
type KeyRange struct{ First, Last int }

// Ranged reports whether the service is divided into ranges of numeric keys.
func (s *Service) Ranged() bool { return s.Key != nil && s.Key.Span > 0 }

// Range returns the keys of a partition of a ranged service.
func (s *Service) Range(partition int) KeyRange {
	if split := s.splitInto(partition); split != nil {
		return split.part(s.Range(split.Base), partition-split.First)
	}
	return KeyRange{First: s.firstKey(partition), Last: s.firstKey(partition+1) - 1}
}

// firstKey is the least key whose partition is the given one: Span*p/Partitions, rounded up.
func (s *Service) firstKey(partition int) int {
	return (s.Key.Span*partition + s.Partitions - 1) / s.Partitions
}

// PartitionOf returns the partition of a key, ignoring overrides, and -1 for a key that a ranged
// service cannot have.
func (s *Service) PartitionOf(key string) int {
	if !s.Ranged() {
		return PartitionOf(key, s.Partitions)
	}
	n, err := strconv.Atoi(key)
	if err != nil || n < 0 || n >= s.Key.Span {
		return -1
	}
	base := n * s.Partitions / s.Key.Span
	if i, found := s.findSplit(base); found {
		return s.Splits[i].First + s.Splits[i].partOf(s.Range(base), n)
	}
	return base
}

// Route maps requests to a service. Prefix matches whole path segments.
type Route struct {
	Name   string `json:"name,omitempty"`
	Prefix string `json:"prefix"`
	// Host limits the route to requests for this host; empty means any.
	Host string `json:"host,omitempty"`
	// Split sends shares of the requests to several services in place of the one that lists the route.
	Split []RouteShare `json:"split,omitempty"`
	// TimeoutMs is the longest time that a request may be kept waiting; 0 means the service's deadline.
	TimeoutMs int `json:"timeout_ms,omitempty"`
	// ObjectiveMs is the time within which an answer is worth most; 0 means none is stated.
	ObjectiveMs int `json:"objective_ms,omitempty"`
	// Attempts bounds the targets that one request may be sent to; 0 means the node's setting.
	Attempts int `json:"attempts,omitempty"`
	// Priority is the rank in a queue; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Methods limits the route to these methods; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Open routes need no organisation key.
	Open bool `json:"open,omitempty"`
	// Idempotent requests may be repeated. Default: GET, HEAD, OPTIONS, PUT and DELETE are, others are not.
	Idempotent *bool `json:"idempotent,omitempty"`
}

// RouteShare is the part of a route's requests that goes to a service.
type RouteShare struct {
	Service string `json:"service"`
	// Weight is relative to the sum over the route.
	Weight float64 `json:"weight"`
}

// Divided reports whether the service is divided by key.
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
	// Rate is in requests per second over all hosts; 0 together with a Burst of 0 means no limit.
	Rate float64 `json:"rate"`
	// Burst is the greatest number of requests admitted at once.
	Burst float64 `json:"burst"`
	// Weight is the share in fair queueing. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Priority replaces the priority of the route when it is set.
	Priority *int `json:"priority,omitempty"`
}

// Limited reports whether the organisation has a rate and a burst.
func (o *Organisation) Limited() bool { return o.Rate > 0 || o.Burst > 0 }

// OrganisationKey is a credential; only its digest is stored.
type OrganisationKey struct {
	ID           string         `json:"id"`
	Organisation OrganisationID `json:"organisation"`
	Digest       KeyDigest      `json:"digest"`
}
