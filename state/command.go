// Package state implements the deterministic state machine of the control group, which holds the
// operators' configuration and the assignments of partitions. It applies entries of the replicated log
// and uses neither a clock nor a source of randomness.
package state

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// CommandKind is the kind of a log entry.
type CommandKind string

// Kinds of log entries.
const (
	ConfigChange CommandKind = "config-change"
	GrantBatch   CommandKind = "grant-batch"
)

// Command is the content of a log entry. Only the field that belongs to its kind is set.
type Command struct {
	Kind   CommandKind `json:"kind"`
	Change *api.Change `json:"change,omitempty"`
	Batch  *Batch      `json:"batch,omitempty"`
}

// Batch holds steps of a leader on many partitions. They are applied in the order releases, revokes,
// rebinds, grants, overrides, splits, roll-outs, places; sessions come last. Each step is applied or rejected
// independently. An empty batch marks the start of a leader's term.
type Batch struct {
	// Term is the Raft term of the leader that made the batch. A batch of a lower term than one
	// already applied is rejected as a whole.
	Term      uint64        `json:"term"`
	Releases  []Step        `json:"releases,omitempty"`
	Revokes   []Step        `json:"revokes,omitempty"`
	Grants    []Grant       `json:"grants,omitempty"`
	Overrides []OverrideKey `json:"overrides,omitempty"`
	// Rebinds move an assignment to another session without changing its target.
	Rebinds []Grant `json:"rebinds,omitempty"`
	// Splits split busy partitions.
	Splits []SplitRange `json:"splits,omitempty"`
	// Rollouts are steps of roll-outs.
	Rollouts []RolloutStep `json:"rollouts,omitempty"`
	// Departures are kept in the records of their places; Forgets lists the places whose records go.
	Departures []api.Departure `json:"departures,omitempty"`
	Forgets    []string        `json:"forgets,omitempty"`
	// Opens and Closes list the sessions of nodes to open and to close.
	Opens  []api.SessionID `json:"opens,omitempty"`
	Closes []api.SessionID `json:"closes,omitempty"`
}

// Empty reports whether the batch has no steps.
func (b *Batch) Empty() bool { return b.Len() == 0 }

// Len returns the number of steps, including sessions to open and close.
func (b *Batch) Len() int {
	return len(b.Releases) + len(b.Revokes) + len(b.Grants) + len(b.Overrides) + len(b.Rebinds) +
		len(b.Splits) + len(b.Rollouts) + len(b.Departures) + len(b.Forgets) + len(b.Opens) + len(b.Closes)
}

// Step names a partition to change and the epoch that its assignment must still have.
type Step struct {
	api.PartitionRef
	Expected api.Epoch `json:"expected"`
	// Handover is the handover token of a release, for the next owner.
	Handover string `json:"handover,omitempty"`
}

// Grant assigns a partition to a target that is reached by a session.
type Grant struct {
	Step
	Target  api.TargetID  `json:"target"`
	Session api.SessionID `json:"session"`
	Place   string        `json:"place,omitempty"`
	// StartedMs is the start of the target in Unix milliseconds; it counts with a place only.
	StartedMs int64 `json:"started_ms,omitempty"`
}

// OverrideKey is a single hot key that gets its own partition.
type OverrideKey struct {
	Service string `json:"service"`
	Key     string `json:"key"`
}

// SplitRange splits a partition of a range-partitioned service into the given number of parts.
type SplitRange struct {
	Step
	Parts int `json:"parts"`
}

// Rejection is the reason why a step of a batch was not applied.
type Rejection struct {
	Ref   api.PartitionRef
	Error *errkind.Error
}

// BatchResult is the result of applying a batch.
type BatchResult struct {
	Applied  int
	Rejected []Rejection
}

// minPackedEntry is the size in bytes from which on entries are packed. A whole configuration, which repeats much
// of its text, would take three times the bytes that the operator has sent, and more than an entry may have.
const minPackedEntry = 4 << 10

// Encode returns the log entry of the command: JSON, packed if it is large.
func (c *Command) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	if err == nil && len(data) >= minPackedEntry {
		data, err = api.Deflate(data)
	}
	return data, errors.Annotate(err, "encode command")
}

// decodeCommand parses a log entry.
func decodeCommand(data []byte) (c Command, err error) {
	if packed := len(data) > 0 && data[0] != '{'; packed {
		if data, err = api.Inflate(data); err != nil {
			return c, err
		}
	}
	return c, errors.Trace(json.Unmarshal(data, &c))
}

// EncodeChange returns the log entry of an operator's change.
func EncodeChange(change *api.Change) ([]byte, error) {
	return (&Command{Kind: ConfigChange, Change: change}).Encode()
}

// EncodeBatch returns the log entry of a leader's batch.
func EncodeBatch(batch *Batch) ([]byte, error) {
	return (&Command{Kind: GrantBatch, Batch: batch}).Encode()
}
