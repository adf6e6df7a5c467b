package capacity

import (
	"fmt"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// serviceName is the service divided by key in all samples.
	serviceName = "quotes"
	zones       = 10
	slots       = 20
)

func sampleService(partitions int) api.Service {
	segment := 1
	return api.Service{
		Name:       serviceName,
		Key:        &api.KeySource{PathSegment: &segment},
		Partitions: partitions,
		Routes:     []api.Route{{Prefix: "/quotes"}},
	}
}

func sampleServices(partitions int) *api.Services {
	return &api.Services{Services: []api.Service{sampleService(partitions)}}
}

// owner is a target and its node's session.
type owner struct {
	target  api.TargetID
	session api.SessionID
}

func sampleOwners(n int) []owner {
	list := make([]owner, n)
	for i := range list {
		list[i] = owner{api.TargetID(api.NewID()), api.SessionID(api.NewID())}
	}
	return list
}

// sampleUpdates returns a map of granted partitions over 64 owners.
func sampleUpdates(partitions int) []api.AssignmentUpdate {
	owners := sampleOwners(64)
	list := make([]api.AssignmentUpdate, partitions)
	for i := range list {
		o := owners[i%len(owners)]
		list[i] = api.AssignmentUpdate{
			PartitionRef: api.PartitionRef{Service: serviceName, Partition: i},
			Assignment: api.Assignment{
				State: api.Granted, Target: o.target, Session: o.session, Epoch: api.Epoch(1_000_000 + i),
			},
		}
	}
	return list
}

// samplePeers returns nodes with one target each.
func samplePeers(n int) []api.Peer {
	list := make([]api.Peer, n)
	for i := range list {
		host := fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)
		list[i] = api.Peer{
			Session:      api.SessionID(api.NewID()),
			Name:         fmt.Sprintf("node-%05d", i),
			Zone:         zone(i),
			InternalAddr: host + ":8081",
			FateAddr:     host + ":8082",
			CallerAddr:   host + ":8080",
			Targets: []api.PeerTarget{{
				ID: api.TargetID(api.NewID()), Service: serviceName, Slots: slots, State: api.TargetServing,
			}},
		}
	}
	return list
}

func zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%zones) }

func organisationID(i int) api.OrganisationID {
	return api.OrganisationID(fmt.Sprintf("organisation-%05d", i))
}

func sampleOrganisations(n int) []api.Organisation {
	list := make([]api.Organisation, n)
	for i := range list {
		list[i] = api.Organisation{ID: organisationID(i), Rate: 10000, Burst: 5000, Weight: 1}
	}
	return list
}

func sampleKey(i int) api.OrganisationKey {
	id := api.NewID()
	return api.OrganisationKey{ID: id, Organisation: organisationID(i), Digest: api.DigestKey(id)}
}

func sampleKeys(n int) []api.OrganisationKey {
	list := make([]api.OrganisationKey, n)
	for i := range list {
		list[i] = sampleKey(i)
	}
	return list
}
