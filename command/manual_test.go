package command

import (
	"expvar"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/profile"
	"nutmegfield.example/replay"
	"nutmegfield.example/settings"
	"nutmegfield.example/yamlfile"
)

// TestManualListsFileFormatKeys checks that the tables on the manual's pages of
// the file formats have exactly the keys and defaults of the Go types.
func TestManualListsFileFormatKeys(t *testing.T) {
	pages := map[string]reflect.Type{
		"host.yaml.5.md":     reflect.TypeFor[settings.Settings](),
		"configuration.5.md": reflect.TypeFor[profile.Configuration](),
		"trace.5.md":         reflect.TypeFor[replay.Trace](),
	}
	for page, structType := range pages {
		t.Run(page, func(t *testing.T) {
			c := qt.New(t)
			want := map[string]string{}
			collectKeys(structType, "", want)
			c.Assert(documentedKeys(c, "manual/"+page), qt.DeepEquals, want)
		})
	}
}

// collectKeys adds the keys of a struct and their defaults to into, in the
// notation of the manual.
func collectKeys(structType reflect.Type, section string, into map[string]string) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		key := section + yamlfile.Key(field)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			key, inner = key+"[]", inner.Elem()
		}
		if inner.Kind() != reflect.Struct {
			into[key] = field.Tag.Get("default")
			continue
		}
		collectKeys(inner, key+".", into)
	}
}

var codeSpan = regexp.MustCompile("`([^`]*)`")

// documentedKeys returns the code spans in the first column of a page's tables,
// with the first code span of the second column as value.
func documentedKeys(c *qt.C, page string) map[string]string {
	text, err := os.ReadFile(filepath.Join("../docs", page))
	c.Assert(err, qt.IsNil)
	found := map[string]string{}
	for line := range strings.SplitSeq(string(text), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		defaultValue := ""
		if match := codeSpan.FindStringSubmatch(cells[2]); match != nil {
			defaultValue = match[1]
		}
		for _, match := range codeSpan.FindAllStringSubmatch(cells[1], -1) {
			found[match[1]] = defaultValue
		}
	}
	return found
}

// TestManualListsCommandsAndFlags checks that each command has a page with all of
// its flags, and that the page of the program links to it.
func TestManualListsCommandsAndFlags(t *testing.T) {
	c := qt.New(t)
	program, err := os.ReadFile("../docs/manual/nutmegfield.1.md")
	c.Assert(err, qt.IsNil)
	for _, command := range commands {
		page := "nutmegfield-" + command.Name + ".1.md"
		c.Assert(strings.Contains(string(program), "("+page+")"), qt.IsTrue, qt.Commentf("%s", page))
		text, err := os.ReadFile("../docs/manual/" + page)
		c.Assert(err, qt.IsNil)
		for _, flag := range flagNames(reflect.TypeOf(command.Data).Elem()) {
			c.Assert(strings.Contains(string(text), "--"+flag), qt.IsTrue, qt.Commentf("--%s in %s", flag, page))
		}
	}
}

func flagNames(structType reflect.Type) []string {
	var names []string
	for i := range structType.NumField() {
		field := structType.Field(i)
		if name := field.Tag.Get("long"); name != "" {
			names = append(names, name)
		}
		if field.Anonymous && field.Type.Kind() == reflect.Struct {
			names = append(names, flagNames(field.Type)...)
		}
	}
	return names
}

// TestOperatorsPageListsCounters checks that the table of counters has exactly the
// variables that a host publishes.
func TestOperatorsPageListsCounters(t *testing.T) {
	c := qt.New(t)
	var published []string
	expvar.Do(func(variable expvar.KeyValue) { published = append(published, variable.Key) })
	c.Assert(slices.Sorted(maps.Keys(documentedKeys(c, "operators/README.md"))), qt.DeepEquals, slices.Sorted(slices.Values(published)))
}

// TestExampleConfigurations checks that the example files are valid and that each
// has the intended number of zones, targets and workspaces.
func TestExampleConfigurations(t *testing.T) {
	sizes := map[string]struct{ zones, engines, services, workspaces int }{
		"bootShop":        {zones: 4, engines: 12, services: 4, workspaces: 5},
		"tourMerchandise": {zones: 3, engines: 12, services: 3, workspaces: 5},
	}
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			file := "../example/" + name + ".yaml"
			// The check command calls the same function.
			text, err := readConfiguration(file)
			c.Assert(err, qt.IsNil)
			configuration, err := profile.Decode(file, text)
			c.Assert(err, qt.IsNil)
			zones, servers := map[string]struct{}{}, map[string]int{}
			for _, pool := range configuration.Pools {
				servers[pool.Kind] += len(pool.Targets)
				for _, target := range pool.Targets {
					zones[target.Zone] = struct{}{}
				}
			}
			c.Assert(len(zones), qt.Equals, size.zones)
			c.Assert(servers[profile.KindModel], qt.Equals, size.engines)
			c.Assert(servers[profile.KindService], qt.Equals, size.services)
			c.Assert(len(configuration.Workspaces), qt.Equals, size.workspaces)
		})
	}
}
