package host

import (
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against a check that decides otherwise than Begin, or that counts an attempt.
func TestCheckBeginDecidesAsBegin(t *testing.T) {
	is := is.New(t)
	c, server := newFakeControl(t, Options{})
	local := grantTo(t, c, server, newBlockingTarget(t, "a"), 5)
	for _, want := range []struct {
		ref   api.PartitionRef
		epoch api.Epoch
		kind  errkind.Kind
	}{
		{ref0(), 4, errkind.StaleEpoch},
		{ref0(), 6, errkind.WrongOwner},
		{api.PartitionRef{Service: "other", Partition: -1}, 0, errkind.WrongOwner},
	} {
		err := local.CheckBegin(want.ref, want.epoch)
		is.Equal(errkind.Of(err), want.kind) // by epoch
		_, _, begun := local.Begin(t.Context(), want.ref, want.epoch, "")
		is.Equal(err.Error(), begun.Error())
	}
	eventually(t, "acknowledged grant", func() bool { return local.CheckBegin(ref0(), 5) == nil })
	running := func() int {
		local.mu.Lock()
		defer local.mu.Unlock()
		return local.running
	}
	is.Equal(running(), 0)
	_, end, err := local.Begin(t.Context(), ref0(), 5, "")
	is.NoErr(err)
	is.Equal(running(), 1)
	end()
	is.Equal(running(), 0)
}
