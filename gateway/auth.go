package gateway

import (
	"crypto/subtle"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// keyDigest returns the digest of a request's organisation key, or "" if there is no key.
func keyDigest(organisationKey string) api.KeyDigest {
	if organisationKey == "" {
		return ""
	}
	return api.DigestKey(organisationKey)
}

// authenticate returns the organisation whose key has the digest. Errors: Unauthenticated if the
// key is missing, unknown or withdrawn, or its organisation has been removed.
func authenticate(v *api.View, digest api.KeyDigest) (*api.Organisation, error) {
	key := v.Index.KeysByDigest[digest]
	if digest == "" || key == nil {
		return nil, errkind.New(errkind.Unauthenticated, "organisation key is missing or invalid")
	}
	if subtle.ConstantTimeCompare([]byte(key.Digest), []byte(digest)) != 1 {
		return nil, errkind.New(errkind.Unauthenticated, "organisation key is missing or invalid")
	}
	org := v.Index.Organisations[key.Organisation]
	if org == nil {
		return nil, errkind.New(errkind.Unauthenticated, "organisation has been removed")
	}
	return org, nil
}
