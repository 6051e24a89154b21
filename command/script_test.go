package command_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"nutmegfield.example/command"
	"nutmegfield.example/objects"
	"nutmegfield.example/operator"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"nutmegfield": func() { os.Exit(command.Main(os.Args[1:])) },
	})
}

// TestScripts runs testdata/*.txtar against a stand-in of the platform and two
// hosts, of which the second is a version behind.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"faults": setFaults,
			"other":  applyOther,
		},
	})
}

type standinKey struct{}

func setup(env *testscript.Env) error {
	fake := &standin.Platform{}
	env.Values[standinKey{}] = fake
	serve := func(name string, handler http.Handler) {
		server := httptest.NewServer(handler)
		env.Defer(server.Close)
		env.Setenv(name, server.URL)
	}
	serve("PLATFORM", fake.Handler())
	serve("HOST1", host("a1", 7))
	serve("HOST2", host("a2", 6))
	serve("HOST3", host("a3", 7))
	for _, name := range []string{"ACTOR1", "ACTOR2"} {
		actor := newActor()
		serve(name, actor)
		serve(name+"_OPERATORS", actor.operators())
	}
	env.Setenv("NOWHERE", "http://127.0.0.1:1")
	return nil
}

func host(id string, version int64) http.Handler {
	store := &profile.Store{}
	store.ApplyIfNewer(profile.NewSnapshot(version, profile.Configuration{}))
	members := &peer.Members{Self: peer.Host{ID: id, Zone: "a"}}
	return (&operator.Operator{Store: store, Members: members}).Handler()
}

func setFaults(script *testscript.TestScript, _ bool, arguments []string) {
	fake := script.Value(standinKey{}).(*standin.Platform)
	switch arguments[0] {
	case "none":
		fake.SetFaults(standin.PlatformFaults{})
	case "down":
		fake.SetFaults(standin.PlatformFaults{Down: true})
	case "loseAnswers":
		fake.SetFaults(standin.PlatformFaults{LoseAnswers: true})
	default:
		script.Fatalf("unknown fault %s", arguments[0])
	}
}

// applyOther is another operator, who is faster.
func applyOther(script *testscript.TestScript, _ bool, arguments []string) {
	api := script.Value(standinKey{}).(*standin.Platform).API()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := api.Update(ctx, profile.ObjectKind, profile.ObjectName, func(objects.Object) ([]byte, error) {
		return []byte(arguments[0]), nil
	})
	script.Check(err)
}
