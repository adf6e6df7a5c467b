package daemon

import "github.com/zinniapier/zinniapier/internal/connlimit"

// HTTPOption is an option of NewHTTPService.
type HTTPOption func(*HTTPService)

// WithConnections bounds the connections and the memory of requests that arrive.
func WithConnections(g *connlimit.Group) HTTPOption {
	return func(s *HTTPService) { s.connections = g }
}

// WithMaxHeaderBytes bounds the head of a request. The default is DefaultMaxHeaderBytes.
func WithMaxHeaderBytes(n int) HTTPOption {
	return func(s *HTTPService) { s.server.MaxHeaderBytes = n }
}

// WithWholeBodies is for handlers that read bodies whole and answer at once: what arrives of a body counts as memory, and
// requests and responses that take longer than wholeBodyTimeout are cut off.
func WithWholeBodies() HTTPOption {
	return func(s *HTTPService) {
		s.wholeBodies = true
		s.server.ReadTimeout = wholeBodyTimeout
		s.server.WriteTimeout = wholeBodyTimeout
		s.server.IdleTimeout = wholeBodyIdleTimeout
	}
}

// WithHeldBodies is for handlers that hold bodies of at most so many bytes whole before they pass them on, and reserve memory for
// them in advance. What they hold counts; until it has arrived, the connection may be closed to make room for others.
func WithHeldBodies(bytes int64) HTTPOption {
	return func(s *HTTPService) { s.heldBody = bytes }
}
