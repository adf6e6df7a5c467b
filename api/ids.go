// Package api holds the identifiers and messages that the processes of the system
// exchange, and the snapshots that control threads publish to traffic threads.
package api

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SessionID identifies one run of a node process; it is random for each start.
type SessionID string

// TargetID identifies one run of a target process; a restarted target has a new one.
type TargetID string

// OrganisationID names an organisation.
type OrganisationID string

// Epoch orders the grants of a partition; it is the log index that committed the grant.
type Epoch uint64

// KeyDigest is the hex form of the SHA-256 digest of an organisation key.
type KeyDigest string

// DigestKey returns the digest under which an organisation key is stored.
func DigestKey(organisationKey string) KeyDigest {
	sum := sha256.Sum256([]byte(organisationKey))
	return KeyDigest(hex.EncodeToString(sum[:]))
}

// NewID returns a random 128-bit identifier in hex.
func NewID() string {
	var b [16]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// NewUint64 returns a random non-zero number, used for member ids.
func NewUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// PartitionOf returns the partition of a key. partitions must be positive.
func PartitionOf(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}

// Default spans of the control protocol.
const (
	DefaultHeartbeat   = 100 * time.Millisecond
	DefaultLease       = 700 * time.Millisecond
	DefaultDriftMargin = 50 * time.Millisecond
	DefaultDrainLimit  = 2 * time.Second
)
