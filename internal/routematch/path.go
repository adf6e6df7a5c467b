// Package routematch defines what the path of a request is and which route a request takes. The gateway, the client library
// and the checks of a configuration share it, so that all of them read a path alike.
//
// A path is a list of segments between the slashes that stand in it as such. Segments are compared after percent-decoding, so
// that "/%61" and "/a" are one path, while "/a%2Fb" is a single segment and differs from "/a/b". Empty segments count:
// "/a", "/a/" and "//a" are three paths.
package routematch

import (
	"net/url"
	"strings"

	"github.com/zinniapier/zinniapier/errkind"
)

// Path is a path in normal form: two paths are the same if their normal forms are equal.
type Path string

// PathOf returns the path of a URL.
func PathOf(u *url.URL) Path { return normalize(sentPath(u)) }

// sentPath returns the path of a URL as it was received, percent-encoded.
func sentPath(u *url.URL) string {
	if u.RawPath != "" {
		// RawPath holds the form that was received, unless the caller changed Path only.
		if path, err := url.PathUnescape(u.RawPath); err == nil && path == u.Path {
			return u.RawPath
		}
	}
	return u.EscapedPath()
}

// CheckPath refuses dot segments, also encoded ones: a target that resolves them would serve another route than the one
// that was selected, possibly one that is not open. Errors: BadRequest.
func CheckPath(u *url.URL) error {
	if !strings.HasPrefix(u.Path, "/") {
		return errkind.New(errkind.BadRequest, "path must start with a slash")
	}
	// A target may take an encoded slash for a separator, so the segments of the decoded path are checked.
	for segment := range strings.SplitSeq(u.Path, "/") {
		if segment == "." || segment == ".." {
			return errkind.New(errkind.BadRequest, "path must not contain dot segments")
		}
	}
	return nil
}

// Forward sets the path of out to that of in. Bytes that a path may not hold are percent-encoded; the rest is unchanged.
// net/http would otherwise re-encode the decoded path, in which encoded slashes have become separators.
func Forward(out, in *url.URL) {
	out.Path, out.RawPath = in.Path, in.RawPath
	if in.RawPath != "" && in.EscapedPath() != in.RawPath {
		out.RawPath = encodeInvalid(sentPath(in))
	}
}

// Segment returns the decoded path segment with the index, which counts from 0; ok is false if the path has none.
func (p Path) Segment(index int) (segment string, ok bool) {
	rest, more := strings.TrimPrefix(string(p), "/"), true
	for i := 0; i <= index; i++ {
		if !more {
			return "", false
		}
		segment, rest, more = strings.Cut(rest, "/")
	}
	segment, err := url.PathUnescape(segment)
	return segment, err == nil
}

// normalize returns the normal form of a percent-encoded path. A segment with a malformed encoding is taken literally.
func normalize(encoded string) Path {
	if isNormal(encoded) {
		return Path(encoded)
	}
	segments := strings.Split(encoded, "/")
	for i, segment := range segments {
		if decoded, err := url.PathUnescape(segment); err == nil {
			segment = decoded
		}
		segments[i] = url.PathEscape(segment)
	}
	return Path(strings.Join(segments, "/"))
}

// isNormal reports whether the path consists of bytes that are never encoded in a normal form.
func isNormal(path string) bool {
	for i := range len(path) {
		if c := path[i]; c != '/' && !unreserved(c) {
			return false
		}
	}
	return true
}

// unreserved reports whether a byte is an unreserved character of RFC 3986.
func unreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// encodeInvalid percent-encodes the bytes that a path may not hold.
func encodeInvalid(path string) string {
	const hex = "0123456789ABCDEF"
	var b strings.Builder
	for i := range len(path) {
		if c := path[i]; unreserved(c) || strings.IndexByte("/%!$&'()*+,;=:@[]", c) >= 0 {
			b.WriteByte(c)
		} else {
			b.Write([]byte{'%', hex[c>>4], hex[c&15]})
		}
	}
	return b.String()
}
