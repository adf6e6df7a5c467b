package bench

import (
	"context"
	"io"

	"github.com/zinniapier/zinniapier/capacity"
)

func runSlopes(ctx context.Context, out io.Writer, only string, asJSON bool) error {
	list, err := capacity.Run(ctx, only, capacity.DefaultSizes())
	if err != nil {
		return err
	}
	if asJSON {
		return capacity.WriteJSON(out, list)
	}
	return capacity.WriteTable(out, list)
}
