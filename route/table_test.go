package route

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestTable(t *testing.T) {
	c := qt.New(t)
	table := NewTable(&Configuration{
		Routes: []Route{
			{Name: "short", Host: "A.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Pools:      []Pool{{Name: "p"}},
		Workspaces: []Workspace{{Name: "clubs", Keys: []string{"k1", "k2"}}},
	})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example:8080", "/x/y", "short"},
		{"A.EXAMPLE", "/x/", "short"},
		{"a.example", "/x", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	} {
		found := table.Find(test.host, test.path)
		name := ""
		if found != nil {
			name = found.Name
		}
		c.Assert(name, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
	c.Assert(table.WorkspaceByKey("k2").Name, qt.Equals, "clubs")
	c.Assert(table.WorkspaceByKey(""), qt.IsNil)
	c.Assert(table.RequiresKey(), qt.IsTrue)
	c.Assert(table.Pool("p"), qt.IsNotNil)
	c.Assert(table.Pool("q"), qt.IsNil)
}

func TestChooseByWeight(t *testing.T) {
	c := qt.New(t)
	route := &Route{Pools: []WeightedPool{{"a", 90}, {"b", 0}, {"c", 10}}}
	c.Assert(route.ChoosePool(0), qt.Equals, "a")
	c.Assert(route.ChoosePool(0.89), qt.Equals, "a")
	c.Assert(route.ChoosePool(0.91), qt.Equals, "c")
	c.Assert(route.ChoosePool(0.9999), qt.Equals, "c")
	c.Assert((&Route{}).ChoosePool(0.5), qt.Equals, "")
	c.Assert((&Route{Pools: []WeightedPool{{"a", 0}}}).ChoosePool(0.5), qt.Equals, "a")
}
