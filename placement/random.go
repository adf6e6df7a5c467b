package placement

import (
	"math/rand/v2"

	"github.com/zinniapier/zinniapier/api"
)

// Random is the baseline policy. It chooses among the eligible targets uniformly at random, and
// moves an owned partition only when its owner is not eligible.
type Random struct{}

// Plan implements Policy.
func (Random) Plan(_ string, ps []Partition, ts []Target, maxMoves int) []Move {
	var ids []api.TargetID
	eligible := make(map[api.TargetID]bool)
	for _, t := range ts {
		if t.Eligible {
			ids = append(ids, t.ID)
			eligible[t.ID] = true
		}
	}
	if len(ids) == 0 {
		return nil
	}
	var moves []Move
	evacuated := 0
	for _, p := range ps {
		if p.Moving || eligible[p.Owner] {
			continue
		}
		if p.Owner != "" {
			if evacuated >= maxMoves {
				continue
			}
			evacuated++
		}
		moves = append(moves, Move{Partition: p.Index, From: p.Owner, To: ids[rand.IntN(len(ids))]})
	}
	return moves
}
