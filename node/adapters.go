package node

import (
	"context"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/gate"
	"github.com/zinniapier/zinniapier/gateway"
	"github.com/zinniapier/zinniapier/host"
	"github.com/zinniapier/zinniapier/tokens"
)

// localTargets lets the gateway find the targets of the registry.
type localTargets struct{ registry *host.Registry }

// Lookup returns nil when the target is not local.
func (l localTargets) Lookup(id api.TargetID) gateway.LocalTarget {
	t := l.registry.Lookup(id)
	if t == nil {
		return nil
	}
	return localTarget{t}
}

type localTarget struct{ *host.Target }

// Gate returns the gate that Node.newGate made for the target.
func (t localTarget) Gate() *gate.Gate {
	return t.Target.Gate().(*gate.Gate)
}

// accountTokens lets the gateway take tokens of the fleet-wide account.
type accountTokens struct{ account *tokens.Account }

func (a accountTokens) Take(ctx context.Context, org api.OrganisationID) (gateway.Token, error) {
	token, err := a.account.Take(ctx, org)
	if err != nil {
		return nil, err
	}
	return token, nil
}

// Preview implements gateway.TokenPreviewer.
func (a accountTokens) Preview(org api.OrganisationID) (waits bool, err error) {
	return a.account.Preview(org)
}

// Names of the limiters.
const (
	limiterFleet  = "fleet"
	limiterStatic = "static"
)

func (n *Node) newLimiter() gateway.Tokens {
	if n.settings.Traffic.Limiter == limiterStatic {
		return newStaticLimiter(n.settings.Traffic.StaticNodes, func(id api.OrganisationID) *api.Organisation {
			return n.session.View().Index.Organisations[id]
		})
	}
	return accountTokens{n.account}
}
