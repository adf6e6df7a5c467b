package replica

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/wal"
)

const identityName = "identity.json"

// identity identifies a member until its disk is wiped.
type identity struct {
	Name string `json:"name"`
	ID   uint64 `json:"id"`
	// Cluster is the random id of the group, 0 before the member belongs to one.
	Cluster uint64 `json:"cluster"`
}

// loadIdentity reads the identity from disk. It creates one if there is none and the log is empty.
func loadIdentity(dir, name string, empty bool) (identity, error) {
	path := filepath.Join(dir, identityName)
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) && empty {
		id := identity{Name: name, ID: api.NewUint64()}
		return id, id.store(dir)
	}
	if err != nil {
		return identity{}, errors.Annotate(err, "read member identity")
	}
	var id identity
	if err := json.Unmarshal(b, &id); err != nil || id.ID == 0 {
		return identity{}, &wal.CorruptionError{File: path, Reason: "malformed identity"}
	}
	if id.Name != name {
		return identity{}, errors.NotValidf("data directory of member %q for member %q", id.Name, name)
	}
	return id, nil
}

func (id identity) store(dir string) error {
	b, err := json.Marshal(id)
	if err != nil {
		return errors.Trace(err)
	}
	return wal.WriteFileAtomic(filepath.Join(dir, identityName), b)
}
