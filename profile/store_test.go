package profile_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/profile"
)

// TestSnapshotIsImmutable checks that a new configuration does not change the
// snapshot that a waiting request holds.
func TestSnapshotIsImmutable(t *testing.T) {
	c := qt.New(t)
	store := &profile.Store{}
	apply := func(version int64, weight int) {
		configuration, err := profile.Decode("test.yaml", []byte(fmt.Sprintf(`tiers: [draft]
profiles: [{name: draft, tier: draft}]
workspaces: [{name: clubs, weight: %d}]
`, weight)))
		c.Assert(err, qt.IsNil)
		store.ApplyIfNewer(profile.NewSnapshot(version, *configuration))
	}
	apply(1, 1)
	held := store.Current()
	apply(2, 7)
	c.Assert(held.Version, qt.Equals, int64(1))
	c.Assert(held.Workspace("clubs").Weight, qt.Equals, 1)
	c.Assert(store.Current().Workspace("clubs").Weight, qt.Equals, 7)
	apply(1, 3)
	c.Assert(store.Current().Workspace("clubs").Weight, qt.Equals, 7)
}
