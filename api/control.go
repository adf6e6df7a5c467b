package api

import "github.com/zinniapier/zinniapier/errkind"

// AssignmentState says how far an assignment is in its life.
type AssignmentState string

// States of an assignment. The zero value means that nobody owns the partition.
const (
	Unassigned AssignmentState = ""
	Granted    AssignmentState = "granted"
	Releasing  AssignmentState = "releasing"
)

// Assignment is the ownership of one partition.
type Assignment struct {
	State   AssignmentState `json:"state,omitempty"`
	Target  TargetID        `json:"target,omitempty"`
	Session SessionID       `json:"session,omitempty"`
	Epoch   Epoch           `json:"epoch,omitempty"`
	// Place is the Place of the target that the partition was granted to.
	Place string `json:"place,omitempty"`
	// Handover is the token that the last owner gave with its release. A new owner that gets it
	// starts with the state of the last one.
	Handover string `json:"handover,omitempty"`
}

// Serves reports whether the owner admits requests. One that pulls its grants does until it reads
// that it has lost them.
func (a Assignment) Serves() bool {
	return a.State == Granted || a.State == Releasing && a.Place != ""
}

// PartitionRef names a partition of a service. Partitions at and above the service's
// number of partitions are the overrides of single hot keys, in the order of Overrides.
type PartitionRef struct {
	Service   string `json:"service"`
	Partition int    `json:"partition"`
}

// Override gives a single hot key its own partition.
type Override struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Partition int    `json:"partition"`
	// Version is the configuration version that created the override. A node that has
	// acknowledged it no longer sends the key to its hash partition.
	Version uint64 `json:"version"`
}

// Configuration is what operators decide. Version is the log index of the last accepted change.
type Configuration struct {
	Version uint64 `json:"version"`
	// OperatorVersion is the log index of the last accepted change by an operator. A change that
	// is based on it or a later version is accepted: overrides, which the leader adds by itself,
	// raise Version but conflict with nothing.
	OperatorVersion uint64            `json:"operator_version"`
	Services        Services          `json:"services"`
	Organisations   []Organisation    `json:"organisations"`
	Keys            []OrganisationKey `json:"keys"`
	ZonesOut        []string          `json:"zones_out"`
	TargetsOut      []TargetID        `json:"targets_out"`
	Overrides       []Override        `json:"overrides"`
	// Rollouts holds the last roll-out of each service that has had one.
	Rollouts []Rollout `json:"rollouts,omitempty"`
	// Label is the operators' own number of the configuration, for those who replace it whole.
	Label uint64 `json:"label,omitempty"`
	// Document is the text that the configuration was replaced by, as the operator sent it. It
	// is not sent to nodes.
	Document []byte `json:"document,omitempty"`
}

// Assignments maps each service divided by key to its partitions.
type Assignments map[string][]Assignment

// ControlState is an immutable snapshot of the replicated state.
type ControlState struct {
	// Index is the log index of the last applied entry.
	Index         uint64        `json:"index"`
	Configuration Configuration `json:"configuration"`
	Assignments   Assignments   `json:"assignments"`
	// Divisions tells how ranged services are divided; like their assignments, they outlive the service
	// until all its partitions have been released.
	Divisions map[string]Division `json:"divisions,omitempty"`
	// MapVersion is the log index of the last change of Assignments.
	MapVersion uint64 `json:"map_version"`
	// Sessions are the open sessions in ascending order. A session is in the log before its node
	// gets a lease or a token, so a new leader knows whom it has to hear from.
	Sessions []SessionID `json:"sessions,omitempty"`
	// RolloutElapsed holds the time in milliseconds since the order of each running roll-out, by its id. It is committed
	// about once a second and does not raise the version of the configuration. The entry of an ended roll-out stays for
	// the time in which the order may be sent again.
	RolloutElapsed map[string]int64 `json:"rollout_elapsed,omitempty"`
	// Places holds what is known of the targets at each place; an entry goes some time after its targets have.
	Places map[string]PlaceRecord `json:"places,omitempty"`
}

// PlaceRecord is what outlives the node and the leader of the targets at a place, where one runs at a time. Both times are
// starts of targets in Unix milliseconds.
type PlaceRecord struct {
	// StartedMs is that of the latest target there that was granted a partition. Targets that were started before it have ended.
	StartedMs int64 `json:"started_ms,omitempty"`
	// LeftBeforeMs bounds the starts of the targets there that have said that they leave for ever.
	LeftBeforeMs int64 `json:"left_before_ms,omitempty"`
}

// Division is how the keys of a ranged service are divided.
type Division struct {
	Partitions int          `json:"partitions"`
	Splits     []RangeSplit `json:"splits,omitempty"`
}

// ChangeKind names an operator change.
type ChangeKind string

// Operator changes. Each uses the fields of Change that its comment names.
const (
	ApplyServices      ChangeKind = "apply-services"      // Services
	PutOrganisation    ChangeKind = "put-organisation"    // Organisation
	RemoveOrganisation ChangeKind = "remove-organisation" // Name
	GrantKey           ChangeKind = "grant-key"           // Key
	WithdrawKey        ChangeKind = "withdraw-key"        // Name: id of the organisation key
	ZoneOut            ChangeKind = "zone-out"            // Name
	ZoneIn             ChangeKind = "zone-in"             // Name
	TargetOut          ChangeKind = "target-out"          // Name: target id
	TargetIn           ChangeKind = "target-in"           // Name: target id
	AddOverride        ChangeKind = "add-override"        // Override, without Partition
	// Replace replaces services, organisations and organisation keys as a whole. It is based on
	// a label: Replacement.BaseLabel takes the place of BaseVersion.
	Replace ChangeKind = "replace" // Replacement
	// StartRollout is accepted whatever its BaseVersion, since it changes nothing that another change sets.
	StartRollout ChangeKind = "start-rollout" // Rollout
)

// RolloutOrder moves the requests of a service to targets of another version.
type RolloutOrder struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// DurationMs is the time until the deadline in milliseconds.
	DurationMs int64 `json:"duration_ms"`
}

// Replacement is a whole configuration under the operators' own number.
type Replacement struct {
	Label         uint64            `json:"label"`
	BaseLabel     uint64            `json:"base_label"`
	Services      Services          `json:"services"`
	Organisations []Organisation    `json:"organisations"`
	Keys          []OrganisationKey `json:"keys"`
	Document      []byte            `json:"document"`
}

// Change is an operator's change to the configuration.
type Change struct {
	// ID is chosen by the operator's tool; a resend carries the same one.
	ID string `json:"id"`
	// BaseVersion is the configuration version that the change was based on.
	BaseVersion  uint64           `json:"base_version"`
	Kind         ChangeKind       `json:"kind"`
	Name         string           `json:"name,omitempty"`
	Services     *Services        `json:"services,omitempty"`
	Organisation *Organisation    `json:"organisation,omitempty"`
	Key          *OrganisationKey `json:"key,omitempty"`
	Override     *Override        `json:"override,omitempty"`
	Replacement  *Replacement     `json:"replacement,omitempty"`
	Rollout      *RolloutOrder    `json:"rollout,omitempty"`
	// Unconditional changes of a zone ignore BaseVersion and succeed when there is nothing to change.
	Unconditional bool `json:"unconditional,omitempty"`
}

// ChangeResult is the answer to a Change.
type ChangeResult struct {
	// Version is the version that the change created, or the current one when it was refused.
	Version uint64         `json:"version"`
	Error   *errkind.Error `json:"error,omitempty"`
}

// Actions of a MemberChange.
const (
	AddMember    = "add"
	RemoveMember = "remove"
)

// MemberChange is the body of POST /v1/members.
type MemberChange struct {
	// Action is AddMember, which needs Name and Address, or RemoveMember, which needs ID.
	Action  string `json:"action"`
	Name    string `json:"name,omitempty"`
	Address string `json:"address,omitempty"`
	ID      uint64 `json:"id,omitempty"`
}

// Status is the answer of a control member to GET /v1/status.
type Status struct {
	Member        string            `json:"member"`
	Leader        string            `json:"leader"`
	LeaderAddress string            `json:"leader_address"`
	Term          uint64            `json:"term"`
	Index         uint64            `json:"index"`
	Version       uint64            `json:"version"`
	MapVersion    uint64            `json:"map_version"`
	Members       []MemberStatus    `json:"members"`
	Nodes         []NodeStatus      `json:"nodes"`
	ZonesOut      []string          `json:"zones_out"`
	Services      []ServiceStatus   `json:"services"`
	Organisations []OrgTokensStatus `json:"organisations"`
	Rollouts      []RolloutStatus   `json:"rollouts,omitempty"`
}

// RolloutStatus describes the last roll-out of a service.
type RolloutStatus struct {
	Rollout
	// ElapsedMs is the time since the order as last committed; 0 once the roll-out has ended.
	ElapsedMs int64 `json:"elapsed_ms,omitempty"`
}

// MemberStatus describes one control member.
type MemberStatus struct {
	Name    string `json:"name"`
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	Match   uint64 `json:"match"`
}

// NodeStatus describes one node with a live session; known to the leader only.
type NodeStatus struct {
	Session       SessionID      `json:"session"`
	Name          string         `json:"name"`
	Zone          string         `json:"zone"`
	InternalAddr  string         `json:"internal_addr"`
	ConfigVersion uint64         `json:"config_version"`
	MapVersion    uint64         `json:"map_version"`
	Targets       []TargetReport `json:"targets"`
}

// ServiceStatus counts the partitions of a service by state.
type ServiceStatus struct {
	Name       string           `json:"name"`
	Partitions int              `json:"partitions"`
	Granted    int              `json:"granted"`
	Owned      map[TargetID]int `json:"owned"`
}

// OrgTokensStatus describes the token bucket of an organisation at the leader.
type OrgTokensStatus struct {
	ID          OrganisationID `json:"id"`
	Level       float64        `json:"level"`
	Outstanding float64        `json:"outstanding"`
}
