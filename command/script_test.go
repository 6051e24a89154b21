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
	"nutmegfield.example/memory"
	"nutmegfield.example/objects"
	"nutmegfield.example/operator"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/rollout"
	"nutmegfield.example/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"nutmegfield": func() { os.Exit(command.Main(os.Args[1:])) },
	})
}

// TestScripts runs testdata/*.txtar against a stand-in for the platform and three
// hosts, of which the second is one configuration version behind.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"faults": setFaults,
			"other":  applyAsOtherOperator,
		},
	})
}

type platformKey struct{}

func setup(env *testscript.Env) error {
	platform := &standin.Platform{}
	env.Values[platformKey{}] = platform
	serve := func(name string, handler http.Handler) {
		server := httptest.NewServer(handler)
		env.Defer(server.Close)
		env.Setenv(name, server.URL)
	}
	serve("PLATFORM", platform.Handler())
	serve("HOST1", newHostHandler("a1", 7))
	serve("HOST2", newHostHandler("a2", 6))
	serve("HOST3", newHostHandler("a3", 7))
	serve("DECIDER", newRolloutHandler("g1", rollout.Status{
		Pool: "draft", Version: "v2", Stage: "sharing", Decider: "10.0.0.1:7000", Share: 0.06, Requests: 900, Sent: 52, LeftMs: 81400,
		Evidence: "answers 47, failed 1",
	}))
	serve("FOLLOWER", newRolloutHandler("g2", rollout.Status{
		Pool: "draft", Version: "v2", Stage: "sharing", Decider: "10.0.0.1:7000", Share: 0.06, Requests: 890, Sent: 51, LeftMs: 81500,
	}))
	for _, name := range []string{"FAKE_HOST1", "FAKE_HOST2"} {
		fakeHost := newFakeHost()
		serve(name, fakeHost)
		serve(name+"_OPERATORS", fakeHost.operatorsHandler())
	}
	env.Setenv("UNREACHABLE_HOST", "http://127.0.0.1:1")
	return nil
}

func newHostHandler(id string, version int64) http.Handler {
	store := &profile.Store{}
	store.ApplyIfNewer(profile.NewSnapshot(version, profile.Configuration{}))
	members := &peer.Members{Self: peer.Host{ID: id, Zone: "a"}}
	plan := memory.NewPlan(100<<20, 4100)
	plan.Callers.Take(memory.Bodies, 3<<20, memory.Small)
	return (&operator.Server{Store: store, Members: members, Memory: plan}).Handler()
}

// newRolloutHandler answers as a gateway that knows of a rollout.
func newRolloutHandler(id string, status rollout.Status) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		operator.WriteJSON(writer, operator.Status{Host: id, Zone: "a", Version: 7, Rollouts: []rollout.Status{status}})
	})
}

func setFaults(script *testscript.TestScript, _ bool, arguments []string) {
	platform := script.Value(platformKey{}).(*standin.Platform)
	switch arguments[0] {
	case "none":
		platform.SetFaults(standin.PlatformFaults{})
	case "down":
		platform.SetFaults(standin.PlatformFaults{Down: true})
	case "loseAnswers":
		platform.SetFaults(standin.PlatformFaults{LoseAnswers: true})
	default:
		script.Fatalf("unknown fault %s", arguments[0])
	}
}

// applyAsOtherOperator writes a configuration as another operator does.
func applyAsOtherOperator(script *testscript.TestScript, _ bool, arguments []string) {
	api := script.Value(platformKey{}).(*standin.Platform).API()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := api.Update(ctx, profile.ObjectKind, profile.ObjectName, func(objects.Object) ([]byte, error) {
		return []byte(arguments[0]), nil
	})
	script.Check(err)
}
