package ctl

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/operator"
)

func (a *app) organisationCommands(k *kingpin.Application) {
	parent := k.Command("organisation", "Add, show and remove organisations.")
	a.organisationAdd(parent)

	show := parent.Command("show", "Show organisations with their limits and the ids of their organisation keys.")
	id := show.Arg("id", "Organisation id. Default: all.").String()
	show.Action(a.action(func(ctx context.Context, c *operator.Client) error {
		return a.showOrganisations(ctx, c, api.OrganisationID(*id))
	}))

	a.named(parent, "remove", "Remove an organisation.", "id", api.RemoveOrganisation)
}

func (a *app) organisationAdd(parent *kingpin.CmdClause) {
	add := parent.Command("add", "Add an organisation, or replace the limits of an existing one.")
	id := add.Arg("id", "Organisation id.").Required().String()
	rate := add.Flag("rate", "Requests per second over all hosts.").Required().Float64()
	burst := add.Flag("burst", "Greatest number of requests admitted at once. Default: the rate, at least 1.").Float64()
	weight := add.Flag("weight", "Share in fair queueing.").Default("1").Float64()
	add.Action(a.submit(func() (api.Change, error) {
		o := &api.Organisation{ID: api.OrganisationID(*id), Rate: *rate, Burst: *burst, Weight: *weight}
		if o.Burst == 0 {
			o.Burst = max(o.Rate, 1)
		}
		return api.Change{Kind: api.PutOrganisation, Organisation: o}, checkOrganisation(o)
	}))
}

func checkOrganisation(o *api.Organisation) error {
	switch {
	case !config.ValidName(string(o.ID)):
		return errkind.New(errkind.Invalid, "organisation id %q: use up to 64 letters, digits, '.', '_' and '-'", o.ID)
	case !(o.Rate > 0):
		return errkind.New(errkind.Invalid, "rate %g is not above 0", o.Rate)
	case !(o.Burst >= 1):
		return errkind.New(errkind.Invalid, "burst %g is below 1", o.Burst)
	case !(o.Weight > 0):
		return errkind.New(errkind.Invalid, "weight %g is not above 0", o.Weight)
	}
	return nil
}

// organisationView is an organisation with the ids of its keys, without their digests.
type organisationView struct {
	api.Organisation
	Keys []string `json:"keys"`
}

func (a *app) showOrganisations(ctx context.Context, c *operator.Client, only api.OrganisationID) error {
	configuration, err := c.Configuration(ctx)
	if err != nil {
		return err
	}
	views := organisationViews(configuration, only)
	if only != "" && len(views) == 0 {
		return errkind.New(errkind.NotFound, "there is no organisation %q", only)
	}
	return a.print(views, func(w io.Writer) {
		rows := [][]string{{"ORGANISATION", "RATE/S", "BURST", "WEIGHT", "KEYS"}}
		for _, v := range views {
			rows = append(rows, []string{string(v.ID), number(v.Rate), number(v.Burst), number(v.Weight),
				strings.Join(v.Keys, " ")})
		}
		table(w, rows...)
	})
}

func organisationViews(c *api.Configuration, only api.OrganisationID) []organisationView {
	views := []organisationView{}
	for _, o := range c.Organisations {
		if only != "" && o.ID != only {
			continue
		}
		view := organisationView{Organisation: o, Keys: []string{}}
		for _, key := range c.Keys {
			if key.Organisation == o.ID {
				view.Keys = append(view.Keys, key.ID)
			}
		}
		views = append(views, view)
	}
	return views
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func (a *app) keyCommands(k *kingpin.Application) {
	parent := k.Command("key", "Grant and withdraw organisation keys.")
	grant := parent.Command("grant", "Grant a new organisation key and print it. It is printed once and stored nowhere.")
	organisation := grant.Arg("organisation", "Organisation id.").Required().String()
	id := grant.Flag("id", "Id under which the key is withdrawn. Default: a random one.").String()
	grant.Action(a.action(func(ctx context.Context, c *operator.Client) error {
		return a.grantKey(ctx, c, api.OrganisationID(*organisation), *id)
	}))
	a.named(parent, "withdraw", "Withdraw an organisation key; it stops working within seconds.", "key-id", api.WithdrawKey)
}

// keyIDLength is the number of hex digits of a key id; ids only have to be unique, not secret.
const keyIDLength = 12

// grantKey sends only the digest of the new key. The key has 256 random bits.
func (a *app) grantKey(ctx context.Context, c *operator.Client, organisation api.OrganisationID, id string) error {
	if id == "" {
		id = api.NewID()[:keyIDLength]
	}
	if !config.ValidName(id) {
		return errkind.New(errkind.Invalid, "key id %q: use up to 64 letters, digits, '.', '_' and '-'", id)
	}
	secret := api.NewID() + api.NewID()
	key := &api.OrganisationKey{ID: id, Organisation: organisation, Digest: api.DigestKey(secret)}
	version, err := a.change(ctx, c, api.Change{Kind: api.GrantKey, Key: key})
	if err != nil {
		return explainGrant(err, id)
	}
	result := struct {
		Version uint64 `json:"version"`
		KeyID   string `json:"key_id"`
		Key     string `json:"organisation_key"`
	}{version, id, secret}
	return a.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: configuration version %d\nkey id: %s\norganisation key: %s\n", version, id, secret)
	})
}

// explainGrant names the key id when the grant may have been made, so that the operator can withdraw it.
func explainGrant(err error, id string) error {
	e := errkind.From(err)
	if e.NotRun {
		return e
	}
	return errkind.New(e.Kind, "%s; the grant may be in force: withdraw key %s", e.Message, id)
}
