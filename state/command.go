// Package state holds the deterministic state machine of the control group: operators'
// configuration and the assignments of partitions. It is applied from the replicated log
// and reads neither clock nor random source.
package state

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// CommandKind names a kind of log entry.
type CommandKind string

// Kinds of log entries.
const (
	ConfigChange CommandKind = "config-change"
	GrantBatch   CommandKind = "grant-batch"
)

// Command is the envelope of a log entry. The field of its kind is set.
type Command struct {
	Kind   CommandKind `json:"kind"`
	Change *api.Change `json:"change,omitempty"`
	Batch  *Batch      `json:"batch,omitempty"`
}

// Batch carries steps of a leader on many partitions. Releases are applied first, then
// revokes, then grants, then overrides; each step stands or falls on its own. An empty
// batch marks the start of a leader's term.
type Batch struct {
	// Term is the term of the leader that made the batch. A batch of an older term than
	// one already applied is rejected as a whole.
	Term      uint64        `json:"term"`
	Releases  []Step        `json:"releases,omitempty"`
	Revokes   []Step        `json:"revokes,omitempty"`
	Grants    []Grant       `json:"grants,omitempty"`
	Overrides []OverrideKey `json:"overrides,omitempty"`
	// Rebinds give an assignment to another session of the node whose target owns it.
	Rebinds []Grant `json:"rebinds,omitempty"`
	// Splits divide busy partitions; they are applied last.
	Splits []SplitRange `json:"splits,omitempty"`
	// Opens and Closes are sessions of nodes.
	Opens  []api.SessionID `json:"opens,omitempty"`
	Closes []api.SessionID `json:"closes,omitempty"`
}

// Empty says whether the batch has no steps.
func (b *Batch) Empty() bool { return b.Len() == 0 }

// Len returns the number of steps.
func (b *Batch) Len() int {
	return len(b.Releases) + len(b.Revokes) + len(b.Grants) + len(b.Overrides) + len(b.Rebinds) +
		len(b.Splits) + len(b.Opens) + len(b.Closes)
}

// Step changes a partition whose assignment still has the expected epoch.
type Step struct {
	api.PartitionRef
	Expected api.Epoch `json:"expected"`
	// Handover is the token that came with a release.
	Handover string `json:"handover,omitempty"`
}

// Grant gives an unassigned partition to a target.
type Grant struct {
	Step
	Target  api.TargetID  `json:"target"`
	Session api.SessionID `json:"session"`
	Place   string        `json:"place,omitempty"`
}

// OverrideKey gives a single hot key its own partition.
type OverrideKey struct {
	Service string `json:"service"`
	Key     string `json:"key"`
}

// SplitRange divides a partition of a ranged service that still has the expected epoch.
type SplitRange struct {
	Step
	Parts int `json:"parts"`
}

// Rejection tells why a step of a batch was not applied.
type Rejection struct {
	Ref   api.PartitionRef
	Error *errkind.Error
}

// BatchResult is what Apply returns for a batch.
type BatchResult struct {
	Applied  int
	Rejected []Rejection
}

// Encode returns the log entry of the command.
func (c *Command) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Annotate(err, "encode command")
}

// EncodeChange returns the log entry of an operator's change.
func EncodeChange(change *api.Change) ([]byte, error) {
	return (&Command{Kind: ConfigChange, Change: change}).Encode()
}

// EncodeBatch returns the log entry of a batch.
func EncodeBatch(batch *Batch) ([]byte, error) {
	return (&Command{Kind: GrantBatch, Batch: batch}).Encode()
}
