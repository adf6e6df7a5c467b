package gateway

import (
	"crypto/subtle"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// credential is the digest of the organisation key that came with a request; empty for none.
func credential(organisationKey string) api.KeyDigest {
	if organisationKey == "" {
		return ""
	}
	return api.DigestKey(organisationKey)
}

// authenticate returns the organisation of a digest. Errors: Unauthenticated when the key
// is missing, unknown or withdrawn, or its organisation has been removed.
func authenticate(v *api.View, digest api.KeyDigest) (*api.Organisation, error) {
	key := v.Index.KeysByDigest[digest]
	if digest == "" || key == nil {
		return nil, errkind.New(errkind.Unauthenticated, "organisation key missing or not valid")
	}
	if subtle.ConstantTimeCompare([]byte(key.Digest), []byte(digest)) != 1 {
		return nil, errkind.New(errkind.Unauthenticated, "organisation key missing or not valid")
	}
	org := v.Index.Organisations[key.Organisation]
	if org == nil {
		return nil, errkind.New(errkind.Unauthenticated, "organisation has been removed")
	}
	return org, nil
}
